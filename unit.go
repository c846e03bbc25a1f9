package spoolsill

import (
	"fmt"

	"github.com/spoolsill/spoolsill/internal/saturate"
)

// Millicores is an amount of processor capacity in thousandths of a core.
type Millicores int64

// Bytes is an amount of memory or data.
type Bytes int64

// Accelerators is a number of accelerators.
type Accelerators int64

// Common units.
const (
	Core Millicores = 1000
	KiB  Bytes      = 1 << 10
	MiB  Bytes      = 1 << 20
	GiB  Bytes      = 1 << 30
)

// Resources is a vector of the resources that a worker provides and a task needs.
type Resources struct {
	Processors   Millicores   `json:"processors"   msgpack:"p" toml:"processors"`
	Memory       Bytes        `json:"memory"       msgpack:"m" toml:"memory"`
	Accelerators Accelerators `json:"accelerators" msgpack:"a" toml:"accelerators"`
}

// Add returns r + o. Components saturate.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		Processors:   saturate.Add(r.Processors, o.Processors),
		Memory:       saturate.Add(r.Memory, o.Memory),
		Accelerators: saturate.Add(r.Accelerators, o.Accelerators),
	}
}

// Sub returns r - o. Components of the result may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{
		Processors:   r.Processors - o.Processors,
		Memory:       r.Memory - o.Memory,
		Accelerators: r.Accelerators - o.Accelerators,
	}
}

// Times returns r multiplied by n. Components saturate.
func (r Resources) Times(n int) Resources {
	return Resources{
		Processors:   saturate.Mul(r.Processors, Millicores(n)),
		Memory:       saturate.Mul(r.Memory, Bytes(n)),
		Accelerators: saturate.Mul(r.Accelerators, Accelerators(n)),
	}
}

// Clamp returns r with each component limited to the range from that of low to that of high.
func (r Resources) Clamp(low, high Resources) Resources {
	return Resources{
		Processors:   min(max(r.Processors, low.Processors), high.Processors),
		Memory:       min(max(r.Memory, low.Memory), high.Memory),
		Accelerators: min(max(r.Accelerators, low.Accelerators), high.Accelerators),
	}
}

// FitsIn reports whether no component of r exceeds that of free.
func (r Resources) FitsIn(free Resources) bool {
	return r.Processors <= free.Processors &&
		r.Memory <= free.Memory &&
		r.Accelerators <= free.Accelerators
}

// Negative reports whether any component is negative.
func (r Resources) Negative() bool {
	return r.Processors < 0 || r.Memory < 0 || r.Accelerators < 0
}

// IsZero reports whether all components are zero.
func (r Resources) IsZero() bool {
	return r == Resources{}
}

// DominantShare returns the largest ratio of a component of r to that of total, and at
// least 0. Components that are not positive in total are ignored.
func (r Resources) DominantShare(total Resources) float64 {
	s := share(int64(r.Processors), int64(total.Processors))
	s = max(s, share(int64(r.Memory), int64(total.Memory)))
	return max(s, share(int64(r.Accelerators), int64(total.Accelerators)))
}

// LeastShare returns the smallest ratio of a component of r to that of total. Components that are not
// positive in total are ignored; it is 1 if there is no other.
func (r Resources) LeastShare(total Resources) float64 {
	least := 1.0
	for _, c := range [][2]int64{
		{int64(r.Processors), int64(total.Processors)},
		{int64(r.Memory), int64(total.Memory)},
		{int64(r.Accelerators), int64(total.Accelerators)},
	} {
		if c[1] > 0 {
			least = min(least, share(c[0], c[1]))
		}
	}
	return least
}

// String returns r in a form like "2.5 cores, 4 GiB".
func (r Resources) String() string {
	s := fmt.Sprintf("%.4g cores, %.4g GiB", float64(r.Processors)/float64(Core), float64(r.Memory)/float64(GiB))
	if r.Accelerators == 0 {
		return s
	}
	return fmt.Sprintf("%s, %d accelerators", s, r.Accelerators)
}

func share(part, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(part) / float64(total)
}
