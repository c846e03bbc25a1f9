package timeline

import (
	"fmt"
	"sync"
	"time"
)

// A Stamp is a reading of a hybrid logical clock: wall time in microseconds and a
// counter that orders events within one microsecond.
type Stamp struct {
	Wall    int64  `json:"wall"    msgpack:"w"`
	Counter uint32 `json:"counter" msgpack:"c"`
}

// Compare returns -1 if s is before o, +1 if s is after o, and 0 if they are equal.
func (s Stamp) Compare(o Stamp) int {
	switch {
	case s.Wall < o.Wall:
		return -1
	case s.Wall > o.Wall:
		return 1
	case s.Counter < o.Counter:
		return -1
	case s.Counter > o.Counter:
		return 1
	default:
		return 0
	}
}

// Time returns the wall time of s.
func (s Stamp) Time() time.Time {
	return time.UnixMicro(s.Wall)
}

// String formats s as the time of day in UTC and the counter.
func (s Stamp) String() string {
	return fmt.Sprintf("%s+%d", s.Time().UTC().Format("15:04:05.000000"), s.Counter)
}

// MaxDrift is how far a received stamp may be ahead of the local wall clock. Stamps
// further ahead are rejected, so that one wrong clock cannot advance all others.
const MaxDrift = time.Minute

// A Clock is a hybrid logical clock. It is safe for concurrent use. The zero value is
// ready to use and reads time.Now.
type Clock struct {
	// Now reads the wall clock; nil means time.Now.
	Now func() time.Time

	mu   sync.Mutex
	last Stamp
}

// Tick returns a stamp that is later than all stamps that c has returned or observed.
func (c *Clock) Tick() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(Stamp{
		Wall: c.wall(),
	})
	return c.last
}

// Observe advances c to a stamp received from another process, so that later stamps
// of c are after s. If s is more than [MaxDrift] ahead of the wall clock, Observe
// leaves c unchanged and returns false.
func (c *Clock) Observe(s Stamp) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Wall > c.wall()+MaxDrift.Microseconds() {
		return false
	}
	if s.Compare(c.last) > 0 {
		c.last = s
	}
	return true
}

func (c *Clock) advance(s Stamp) {
	if s.Wall > c.last.Wall {
		c.last = s
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
