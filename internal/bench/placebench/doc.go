// Package placebench measures placement: it drives package place, the plain
// schedulers and a bound that no scheduler can beat through the same jobs on
// the same fake workers on virtual time.
package placebench
