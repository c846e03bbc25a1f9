// Package fault runs the real entry hosts in memory on virtual time through
// random sequences of failures, two or three at once, and checks the promises
// against the stand-ins' own records. A seed names a sequence.
package fault
