// Package bench holds benchmark suites, which return figures to compare with their bounds. Suites lists them.
//
// Suites run in virtual time with fixed seeds, except those that measure the program's own time or memory.
package bench
