package entry

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/config"
)

// maxCallers bounds the number of rate limiters. When it is reached, all of them
// are dropped.
const maxCallers = 100_000

// rateLimits limits the request rate of each caller at this host. It is safe for
// concurrent use.
type rateLimits struct {
	mu          sync.Mutex
	callers     map[spoolsill.CallerID]config.Caller
	defaultRate int
	limiters    map[spoolsill.CallerID]*rate.Limiter
}

func newRateLimits() *rateLimits {
	return &rateLimits{
		callers:  map[spoolsill.CallerID]config.Caller{},
		limiters: map[spoolsill.CallerID]*rate.Limiter{},
	}
}

// configure applies the limits of a configuration. It resets all limiters.
func (l *rateLimits) configure(d config.Document) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.defaultRate = d.DefaultCallerRate
	l.callers = map[spoolsill.CallerID]config.Caller{}
	for _, c := range d.Callers {
		l.callers[c.ID] = c
	}
	l.limiters = map[spoolsill.CallerID]*rate.Limiter{}
}

// allow reports whether a caller may send a request now. If not, it also returns
// the delay after which the caller may retry.
func (l *rateLimits) allow(now time.Time, id spoolsill.CallerID) (time.Duration, bool) {
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

// limiter returns the rate limiter of a caller, or nil if the caller's rate is not
// limited. l.mu must be held.
func (l *rateLimits) limiter(id spoolsill.CallerID) *rate.Limiter {
	if x, ok := l.limiters[id]; ok {
		return x
	}
	c, ok := l.callers[id]
	if !ok {
		c = config.Caller{
			ID:   id,
			Rate: l.defaultRate,
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
