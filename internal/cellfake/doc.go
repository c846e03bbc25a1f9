// Package cellfake provides in-memory fakes of the services that a host of the cell
// calls: the platform's store, its workers and the advisor. The fakes implement the
// guarantees that the platform documents (versions, conditions, leases, fences, ends that
// are reported until they are acknowledged) and fail in the ways that it documents. The
// fake workers record each violation of an invariant by the cell.
package cellfake
