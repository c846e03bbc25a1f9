// Package retryafter decides when a client that can't be served now should come back.
//
// The load that it answers: the store, the leader or a hall is gone for seconds to minutes,
// and clients keep handing in work. A fixed delay makes all that were refused come back
// within one delay, each time: the hosts then refuse the whole backlog every second, and the
// cell gets all of it in the first second after the return. The delays here grow with the
// outage and are spread, so that hosts see at most about two and a half times the usual rate
// of requests, during the outage and after it, and the backlog has returned after about as
// long as the outage has lasted.
//
// The decision is a pure function. It is safe for concurrent use.
package retryafter

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Shortest is the shortest delay and the unit of all delays: clients are told whole seconds.
	Shortest = time.Second
	// maxSpread bounds the spread, so that no client waits for more than about a minute after
	// the return. After longer outages the backlog returns faster.
	maxSpread = time.Minute
)

// A Refusal describes a request that can't be served now.
type Refusal struct {
	// FailingFor is how long what the request needs has been failing.
	FailingFor time.Duration
	// Timeout is how long the client says that it waits; 0 if it doesn't. A client
	// comes back within half of this time, so that it can still be served. Few such clients
	// are left at the return, since the others have given up.
	Timeout time.Duration
	// Key distinguishes requests. The same request always gets the same delay.
	Key string
}

// Delay returns when the client should come back, in whole seconds: Shortest, and evenly spread
// between half as long and as long as the failure has lasted. Nothing is known of its end, and
// a client so waits at most about twice as long as the failure lasts. Shorter delays would
// bring each client back more often, longer ones would make it wait for no gain.
func Delay(r Refusal) time.Duration {
	spread := min(r.FailingFor, maxSpread)
	if r.Timeout > 0 {
		spread = min(spread, r.Timeout/2-Shortest)
	}
	if spread < Shortest {
		return Shortest
	}
	x := fraction(r.Key)
	extra := spread/2 + time.Duration(x*float64(spread/2))
	// Rounding at random keeps the average.
	extra += time.Duration(fraction(r.Key+"/rounding") * float64(Shortest))
	return Shortest + min(extra.Truncate(Shortest), spread.Truncate(Shortest))
}

// fraction returns a number in [0, 1) that depends on the key alone and is evenly distributed
// over keys.
func fraction(key string) float64 {
	const bits = 53 // of the mantissa of a float64
	return float64(xxhash.Sum64String(key)>>(64-bits)) / (1 << bits)
}
