// Package claim makes unrepeatable requests run at most once.
//
// Before such a request is dispatched, its key is claimed: by a row of the
// platform's table while that answers, and in the memory of every entry host
// of the key's home hall. While the table is silent, the home hall's hosts
// alone decide, and only unanimously: a host that started after the key was
// made does not know what its earlier life knew, so it answers unknown.
//
// A [Ledger] is what one host of the home hall remembers. Whoever asks again
// with the same key gets what became of the first request, as long as it is
// kept.
//
// The package has no clock, I/O, lock or goroutine.
package claim
