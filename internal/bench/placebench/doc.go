// Package placebench compares placement policies in a discrete-event simulation. Package
// place and two baseline schedulers run the same jobs on the same simulated workers. An
// upper bound is computed for the same jobs.
package placebench
