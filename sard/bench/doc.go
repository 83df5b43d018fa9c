// Package bench holds workloads and the table of figures against their bounds.
//
// A suite returns figures; registry.go lists the suites. Suites run in virtual time with fixed seeds, but for
// those that measure the time or memory that the program takes.
package bench
