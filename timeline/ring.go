package timeline

import (
	"sort"
	"sync"

	"github.com/spoolsill/spoolsill"
)

// DefaultSize is the number of events that a ring keeps by default.
const DefaultSize = 8192

// A Config configures a [Ring].
type Config struct {
	Host  spoolsill.HostID
	Hall  spoolsill.HallID
	Clock *Clock
	// Size is the number of events kept; 0 or less means [DefaultSize].
	Size int
}

// A Ring is a ring buffer that holds the newest events of one process. It is safe for
// concurrent use.
type Ring struct {
	config Config

	mu     sync.Mutex
	events []Event
	next   int // index of the oldest event once the buffer is full
}

// NewRing returns an empty ring. If c.Clock is nil, the ring uses a new clock.
func NewRing(c Config) *Ring {
	if c.Size <= 0 {
		c.Size = DefaultSize
	}
	if c.Clock == nil {
		c.Clock = &Clock{}
	}
	return &Ring{
		config: c,
	}
}

// Add sets the timestamp, host and hall of e and stores it. If the ring is full, e
// replaces the oldest event.
func (r *Ring) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = r.config.Clock.Tick()
	e.Host = r.config.Host
	e.Hall = r.config.Hall
	if len(r.events) < r.config.Size {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % len(r.events)
}

// Select returns the newest events that match f, at most limit of them, oldest first.
// A limit of 0 or less means no limit.
func (r *Ring) Select(f Filter, limit int) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := []Event{}
	for i := range r.events {
		e := r.events[(r.next+i)%len(r.events)]
		if f.Match(e) {
			out = append(out, e)
		}
	}
	if limit > 0 && len(out) > limit {
		out = out[len(out)-limit:]
	}
	return out
}

// Merge returns the events of several rings sorted by timestamp. Events with equal
// timestamps are sorted by host.
func Merge(rings ...[]Event) []Event {
	out := []Event{}
	for _, r := range rings {
		out = append(out, r...)
	}
	sort.SliceStable(out, func(i, j int) bool {
		if c := out[i].At.Compare(out[j].At); c != 0 {
			return c < 0
		}
		return out[i].Host < out[j].Host
	})
	return out
}
