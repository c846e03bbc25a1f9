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

// A Config describes a [State]. The zero value is usable for one host that
// has a hall for itself.
type Config struct {
	Service spoolsill.ServiceID
	Host    spoolsill.HostID
	// Hosts are the entry hosts of the hall, all that may share its runners.
	// The same on each of them.
	Hosts []spoolsill.HostID
	// Slots is how many requests a runner takes at once.
	Slots int
	// MaxQueued bounds the waiting requests.
	MaxQueued int
	// SlotLifetime is how long a request may occupy a runner. After it a slot
	// is free whatever became of the request.
	SlotLifetime time.Duration
	// LoanDuration is how long requests may be started in a borrowed slot.
	LoanDuration time.Duration
	// EjectAfter is the number of failures in a row that eject a runner, for
	// Eject, which doubles up to MaxEject.
	EjectAfter int
	Eject      time.Duration
	MaxEject   time.Duration
	// EjectedPerMille bounds the share of ejected runners.
	EjectedPerMille int
	// RetriesPerMille bounds retries to a share of the requests.
	RetriesPerMille int
	// FirstLoan is the number before the first loan's. It grows with each life
	// of the host, so that loans of two lives are not mistaken.
	FirstLoan uint64
	// FillFirst takes the first runner with a free slot instead of the one
	// with the fewest requests, for measurements.
	FillFirst bool
	// NoEject keeps failing runners, for measurements.
	NoEject bool
	// NoLoans keeps every slot at home, for measurements.
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
