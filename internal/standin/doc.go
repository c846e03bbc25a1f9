// Package standin provides fake platforms, workers and runners for tests, the
// demo and benchmarks. They are served over loopback or in memory, and faults can
// be injected into them.
//
// The fakes record which requests and tasks they ran, so that the invariants of
// the system are checked against these records and not against what its hosts
// report. See [Truth].
package standin
