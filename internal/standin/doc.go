// Package standin provides fake platforms, workers and runners for tests, the
// demo and measurements. They are served over loopback or in memory, and can
// inject the faults of the real ones.
//
// The fakes record which requests and tasks they ran, so that the invariants
// of the system are checked against these records and not against what its
// hosts report. See [Truth].
package standin
