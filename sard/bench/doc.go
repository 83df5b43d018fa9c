// Package bench holds workloads and the table of figures against their bounds.
package bench
