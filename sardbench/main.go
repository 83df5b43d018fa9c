// Command sardbench prints the benchmark figures against their bounds.
package main

func main() {}
