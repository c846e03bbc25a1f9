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
	// TTL is how long a plan can be confirmed.
	TTL time.Duration
	// Plans bounds the plans kept; the oldest go first.
	Plans int
}

// A PlanCache keeps plans that wait to be confirmed. It is not safe for concurrent
// use.
type PlanCache struct {
	config Config
	plans  map[spoolsill.PlanID]kept
	order  []spoolsill.PlanID
}

type kept struct {
	plan    place.Plan
	expires time.Time
}

// NewPlanCache returns an empty cache.
func NewPlanCache(c Config) *PlanCache {
	if c.TTL == 0 {
		c.TTL = DefaultTTL
	}
	if c.Plans == 0 {
		c.Plans = DefaultMaxPlans
	}
	return &PlanCache{
		config: c,
		plans:  map[spoolsill.PlanID]kept{},
	}
}

// Add keeps a plan and returns when it expires.
func (b *PlanCache) Add(now time.Time, id spoolsill.PlanID, p place.Plan) time.Time {
	for len(b.order) >= b.config.Plans {
		delete(b.plans, b.order[0])
		b.order = b.order[1:]
	}
	end := now.Add(b.config.TTL)
	b.plans[id] = kept{
		plan:    p,
		expires: end,
	}
	b.order = append(b.order, id)
	return end
}

// Get returns a plan that can still be confirmed, or a [*place.StaleError].
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
