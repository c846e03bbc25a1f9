// Package fleet runs the entry hosts of a deployment against stand-ins, ends
// them in all the ways that hosts end, and has callers send requests and check
// what comes back. The demo runs it over loopback sockets, the measurements
// and tests of failures in memory on virtual time.
package fleet
