package timeline

import (
	"fmt"
	"sync"
	"time"
)

// A Timestamp is a reading of a hybrid logical clock: wall time in microseconds and a
// counter that orders events within one microsecond.
type Timestamp struct {
	Wall    int64  `json:"wall"    msgpack:"w"`
	Counter uint32 `json:"counter" msgpack:"c"`
}

// Compare returns -1 if t is before o, +1 if t is after o, and 0 if they are equal.
func (t Timestamp) Compare(o Timestamp) int {
	switch {
	case t.Wall < o.Wall:
		return -1
	case t.Wall > o.Wall:
		return 1
	case t.Counter < o.Counter:
		return -1
	case t.Counter > o.Counter:
		return 1
	default:
		return 0
	}
}

// Time returns the wall time of t.
func (t Timestamp) Time() time.Time {
	return time.UnixMicro(t.Wall)
}

// String formats t as the time of day in UTC and the counter.
func (t Timestamp) String() string {
	return fmt.Sprintf("%s+%d", t.Time().UTC().Format("15:04:05.000000"), t.Counter)
}

// MaxSkew is how far a received timestamp may be ahead of the local wall clock. A
// timestamp that is further ahead is rejected, so that one wrong clock cannot advance the
// clocks of all other processes.
const MaxSkew = time.Minute

// A Clock is a hybrid logical clock. It is safe for concurrent use. The zero value is
// ready to use and reads time.Now.
type Clock struct {
	// Now reads the wall clock; nil means time.Now.
	Now func() time.Time

	mu   sync.Mutex
	last Timestamp
}

// Tick returns a timestamp that is later than all timestamps that c has returned or
// observed before.
func (c *Clock) Tick() Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(Timestamp{
		Wall: c.wall(),
	})
	return c.last
}

// Observe advances c to a timestamp received from another process, so that the
// timestamps that c returns next are after t. If t is more than [MaxSkew] ahead of the
// wall clock, Observe leaves c unchanged and returns false.
func (c *Clock) Observe(t Timestamp) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.Wall > c.wall()+MaxSkew.Microseconds() {
		return false
	}
	if t.Compare(c.last) > 0 {
		c.last = t
	}
	return true
}

// advance sets c.last to t, or to the next counter value if t is not later. c.mu must be
// held.
func (c *Clock) advance(t Timestamp) {
	if t.Wall > c.last.Wall {
		c.last = t
		return
	}
	c.last.Counter++
}

func (c *Clock) wall() int64 {
	if c.Now == nil {
		return time.Now().UnixMicro()
	}
	return c.Now().UnixMicro()
}
