// Package fleet runs the entry hosts of a deployment against a simulated cell. It
// can kill, stop and restart hosts, and provides callers that send requests and
// verify the responses. The demo runs it over loopback sockets; the benchmarks
// and fault-injection tests run it in memory on virtual time.
package fleet
