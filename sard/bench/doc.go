// Package bench holds benchmark suites, which return figures to compare with their bounds. Suites lists them.
//
// Suites run in virtual time with fixed seeds, except those that measure the program's own time or memory.
//
// The package uses these terms:
//
//   - A figure is a named measured value, with a bound that it must not violate.
//   - The engine is the scheduler of package place. A baseline is a simpler scheduler, FIFO or backfill, with which it
//     is compared.
//   - A gang is a job that takes all its accelerators at the same time, on one or more workers.
//   - A site is a simulated data centre with its workers and accounts.
//   - A closing burst is a workload whose jobs are all submitted within five minutes; a mixed load is a steady stream
//     of jobs with some bursts.
package bench
