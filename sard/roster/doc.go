// Package roster tracks the instances, workers and servers that are live or leaving.
package roster
