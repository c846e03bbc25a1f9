// Package naive provides simple reference implementations of placement and of
// its invariants, which scan all workers and tasks at every step. Differential
// tests and benchmarks compare the optimized implementations with them.
package naive
