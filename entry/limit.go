package entry

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/config"
)

// maxCallers bounds the callers whose rate is remembered.
const maxCallers = 100_000

// limits bounds the request rate of each caller at this host.
type limits struct {
	mu       sync.Mutex
	listed   map[spoolsill.CallerID]config.Caller
	general  int
	limiters map[spoolsill.CallerID]*rate.Limiter
}

func newLimits() *limits {
	return &limits{
		listed:   map[spoolsill.CallerID]config.Caller{},
		limiters: map[spoolsill.CallerID]*rate.Limiter{},
	}
}

// set takes in the configuration in force.
func (l *limits) set(d config.Document) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.general = d.DefaultCallerRate
	l.listed = map[spoolsill.CallerID]config.Caller{}
	for _, c := range d.Callers {
		l.listed[c.ID] = c
	}
	l.limiters = map[spoolsill.CallerID]*rate.Limiter{}
}

// allow reports whether a caller may send a request now, and otherwise when
// to ask again.
func (l *limits) allow(now time.Time, id spoolsill.CallerID) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.limiter(id)
	if x == nil {
		return 0, true
	}
	r := x.ReserveN(now, 1)
	wait := r.DelayFrom(now)
	if wait == 0 {
		return 0, true
	}
	r.CancelAt(now)
	return wait, false
}

func (l *limits) limiter(id spoolsill.CallerID) *rate.Limiter {
	if x, ok := l.limiters[id]; ok {
		return x
	}
	c, ok := l.listed[id]
	if !ok {
		c = config.Caller{
			ID:   id,
			Rate: l.general,
		}
	}
	if c.Rate == 0 {
		return nil
	}
	if len(l.limiters) >= maxCallers {
		l.limiters = map[spoolsill.CallerID]*rate.Limiter{}
	}
	x := rate.NewLimiter(rate.Limit(c.Rate), max(c.Burst, c.Rate))
	l.limiters[id] = x
	return x
}
