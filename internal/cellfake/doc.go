// Package cellfake provides in-memory fakes of the services that a host of the cell
// calls: the platform's store, workers and the advisor. They implement the guarantees
// that the platform documents (versions, conditions, leases, fences, ends that are
// reported until they are acknowledged), fail in the ways that it documents, and record
// every violation of a guarantee by the cell.
package cellfake
