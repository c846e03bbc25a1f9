// Package claim provides at-most-once execution of unrepeatable requests.
//
// Before such a request is dispatched, its key is claimed in the memory of the
// entry hosts of the key's home hall. The request may run if all of them grant
// the key. If only some of them do, a conditional insert into the platform's
// table decides; while the table is unavailable, the request does not run. A
// host that started after the key was created does not know which claims it
// granted before the restart, so it answers [Uncertain].
//
// A [Ledger] holds the claims known to one host of the home hall. A repeated
// request with the same key receives the result of the first one for as long
// as the ledger keeps it.
//
// The package performs no I/O, does not read the clock, takes no locks and
// starts no goroutines.
package claim
