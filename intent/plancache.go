package intent

import (
	"fmt"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/place"
)

// Defaults of [Config].
const (
	DefaultTTL      = 5 * time.Minute
	DefaultMaxPlans = 1000
)

// A Config describes a [PlanCache].
type Config struct {
	// Life is the time within which a plan can be confirmed.
	Life time.Duration
	// Plans is the maximum number of cached plans; the oldest is evicted first.
	Plans int
}

// A PlanCache holds plans until they are evicted. It is not safe for concurrent
// use.
type PlanCache struct {
	config Config
	plans  map[spoolsill.PlanID]cachedPlan
	order  []spoolsill.PlanID
}

type cachedPlan struct {
	plan    place.Plan
	expires time.Time
}

// NewPlanCache returns an empty cache. Zero fields of c get their defaults.
func NewPlanCache(c Config) *PlanCache {
	if c.Life == 0 {
		c.Life = DefaultTTL
	}
	if c.Plans == 0 {
		c.Plans = DefaultMaxPlans
	}
	return &PlanCache{
		config: c,
		plans:  map[spoolsill.PlanID]cachedPlan{},
	}
}

// Add stores a plan and returns the time at which it expires.
func (b *PlanCache) Add(now time.Time, id spoolsill.PlanID, p place.Plan) time.Time {
	for len(b.order) >= b.config.Plans {
		delete(b.plans, b.order[0])
		b.order = b.order[1:]
	}
	end := now.Add(b.config.Life)
	b.plans[id] = cachedPlan{
		plan:    p,
		expires: end,
	}
	b.order = append(b.order, id)
	return end
}

// Get returns the plan with an id. It returns a [*place.StaleError] if the plan
// is not in the cache or has expired. The plan stays in the cache, so that a
// confirmation can be repeated.
func (b *PlanCache) Get(now time.Time, id spoolsill.PlanID) (place.Plan, error) {
	k, ok := b.plans[id]
	if !ok {
		return place.Plan{}, &place.StaleError{
			Text: fmt.Sprintf("plan %s is not known here: it is too old, or the hall's holder has changed", id),
		}
	}
	if now.After(k.expires) {
		return place.Plan{}, &place.StaleError{
			Text: fmt.Sprintf("plan %s has expired at %s", id, k.expires.UTC().Format(time.RFC3339)),
		}
	}
	return k.plan, nil
}
