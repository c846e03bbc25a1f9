// Package placebench compares placement policies in a discrete-event simulation. Package
// place, two baseline schedulers and a bound that no scheduler can beat get the same jobs
// on the same simulated workers.
package placebench
