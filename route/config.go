package route

import (
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/zero"
)

// Defaults of [Config].
const (
	DefaultSlots           = 8
	DefaultMaxQueued       = 4096
	DefaultSlotLifetime    = 30 * time.Second
	DefaultLoanDuration    = 200 * time.Millisecond
	DefaultEjectAfter      = 3
	DefaultEject           = 2 * time.Second
	DefaultMaxEject        = time.Minute
	DefaultEjectedPerMille = 300 // of 1000 runners
	DefaultRetriesPerMille = 100 // of 1000 requests
)

// A Config configures a [State]. The zero value is usable for the only host of a
// hall.
type Config struct {
	Service spoolsill.ServiceID
	Host    spoolsill.HostID
	// Hosts are the entry hosts of the hall that share its runners. The list
	// must be the same on each of them.
	Hosts []spoolsill.HostID
	// Slots is how many requests a runner processes concurrently.
	Slots int
	// MaxQueued bounds the number of waiting requests.
	MaxQueued int
	// SlotLifetime is how long a request may occupy a runner. After that its slot
	// is free, whether or not the result of the request is known.
	SlotLifetime time.Duration
	// LoanDuration is how long requests may be sent in a borrowed slot.
	LoanDuration time.Duration
	// EjectAfter is the number of consecutive failures after which a runner is
	// ejected, for Eject the first time; the duration doubles up to MaxEject.
	EjectAfter int
	Eject      time.Duration
	MaxEject   time.Duration
	// EjectedPerMille bounds the share of runners that are ejected at once; one
	// is always allowed.
	EjectedPerMille int
	// RetriesPerMille bounds the retries of requests that may have run, as a
	// share of all requests.
	RetriesPerMille int
	// FirstLoan is the number below that of the first loan. It must be larger
	// after each restart of the host, so that loans from before a restart are not
	// confused with later ones.
	FirstLoan uint64
	// FillFirst selects the first runner with a free slot instead of the one with
	// the fewest requests, for benchmarks.
	FillFirst bool
	// NoEject disables the ejection of runners, for benchmarks and tests.
	NoEject bool
	// NoLoans disables loans between hosts, for benchmarks.
	NoLoans bool
}

func (c Config) withDefaults() Config {
	zero.Default(&c.Slots, DefaultSlots)
	zero.Default(&c.MaxQueued, DefaultMaxQueued)
	zero.Default(&c.SlotLifetime, DefaultSlotLifetime)
	zero.Default(&c.LoanDuration, DefaultLoanDuration)
	zero.Default(&c.EjectAfter, DefaultEjectAfter)
	zero.Default(&c.Eject, DefaultEject)
	zero.Default(&c.MaxEject, DefaultMaxEject)
	zero.Default(&c.EjectedPerMille, DefaultEjectedPerMille)
	zero.Default(&c.RetriesPerMille, DefaultRetriesPerMille)
	if len(c.Hosts) == 0 {
		c.Hosts = []spoolsill.HostID{c.Host}
	}
	return c
}
