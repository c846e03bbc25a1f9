// Package demo runs a complete deployment in one process over loopback sockets:
// entry hosts, operators and callers, with a fake platform, workers and runners
// of package standin, and injects the failures that a deployment must tolerate.
// At the end it reports the violations of invariants that the fakes recorded.
package demo
