// Package demo runs a complete deployment in one process over loopback sockets:
// entry hosts, operators and callers, with the fake platform, workers and runners
// of package standin. It injects the failures that a deployment must tolerate and
// reports the violations of invariants that the fakes recorded.
package demo
