// Command standin plays the platform, the workers and the backend servers on loopback.
package main

func main() {}
