package spoolsill

import "fmt"

// Millicores counts processor time: 1000 is one processor.
type Millicores int64

// Bytes counts memory or data.
type Bytes int64

// Accelerators counts whole accelerators.
type Accelerators int64

// Sizes in common use.
const (
	Core Millicores = 1000
	KiB  Bytes      = 1 << 10
	MiB  Bytes      = 1 << 20
	GiB  Bytes      = 1 << 30
)

// Resources is an amount of everything that a worker has and a task needs.
// The zero value is nothing.
type Resources struct {
	Processors   Millicores   `json:"processors"   msgpack:"p" toml:"processors"`
	Memory       Bytes        `json:"memory"       msgpack:"m" toml:"memory"`
	Accelerators Accelerators `json:"accelerators" msgpack:"a" toml:"accelerators"`
}

// Add returns r and o together.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		Processors:   r.Processors + o.Processors,
		Memory:       r.Memory + o.Memory,
		Accelerators: r.Accelerators + o.Accelerators,
	}
}

// Sub returns r less o. An entry may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{
		Processors:   r.Processors - o.Processors,
		Memory:       r.Memory - o.Memory,
		Accelerators: r.Accelerators - o.Accelerators,
	}
}

// Times returns r taken n times.
func (r Resources) Times(n int) Resources {
	return Resources{
		Processors:   r.Processors * Millicores(n),
		Memory:       r.Memory * Bytes(n),
		Accelerators: r.Accelerators * Accelerators(n),
	}
}

// Fits reports whether r fits into free in every entry.
func (r Resources) Fits(free Resources) bool {
	return r.Processors <= free.Processors &&
		r.Memory <= free.Memory &&
		r.Accelerators <= free.Accelerators
}

// Negative reports whether an entry is below zero.
func (r Resources) Negative() bool {
	return r.Processors < 0 || r.Memory < 0 || r.Accelerators < 0
}

// IsZero reports whether r is nothing.
func (r Resources) IsZero() bool {
	return r == Resources{}
}

// DominantShare returns the largest share that an entry of r has of total,
// from 0. An entry that total lacks does not count.
func (r Resources) DominantShare(total Resources) float64 {
	s := share(int64(r.Processors), int64(total.Processors))
	s = max(s, share(int64(r.Memory), int64(total.Memory)))
	return max(s, share(int64(r.Accelerators), int64(total.Accelerators)))
}

// String returns the amounts for people, as in "2.5 cores, 4.0 GiB".
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
