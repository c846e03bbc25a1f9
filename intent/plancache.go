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

// A Config configures a [PlanCache].
type Config struct {
	// Life is the time within which a plan can be confirmed; 0 means DefaultTTL.
	Life time.Duration
	// Plans is the maximum number of cached plans; 0 means DefaultMaxPlans. The
	// oldest plan is evicted first.
	Plans int
}

// A PlanCache holds plans until they are evicted; plans that have expired stay in
// it until then. It is not safe for concurrent use.
type PlanCache struct {
	config Config
	plans  map[spoolsill.PlanID]cachedPlan
	order  []spoolsill.PlanID
}

type cachedPlan struct {
	plan    place.Plan
	expires time.Time
}

// NewPlanCache returns an empty cache.
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
func (c *PlanCache) Add(now time.Time, id spoolsill.PlanID, p place.Plan) time.Time {
	for len(c.order) >= c.config.Plans {
		delete(c.plans, c.order[0])
		c.order = c.order[1:]
	}
	expiry := now.Add(c.config.Life)
	c.plans[id] = cachedPlan{
		plan:    p,
		expires: expiry,
	}
	c.order = append(c.order, id)
	return expiry
}

// Get returns the plan with an id. It returns a [*place.StaleError] if the plan
// is not in the cache or has expired. The plan stays in the cache, so that a
// confirmation can be repeated.
func (c *PlanCache) Get(now time.Time, id spoolsill.PlanID) (place.Plan, error) {
	cached, ok := c.plans[id]
	if !ok {
		return place.Plan{}, &place.StaleError{
			Text: fmt.Sprintf("plan %s is not known here: it is too old, or the hall's holder has changed", id),
		}
	}
	if now.After(cached.expires) {
		return place.Plan{}, &place.StaleError{
			Text: fmt.Sprintf("plan %s has expired at %s", id, cached.expires.UTC().Format(time.RFC3339)),
		}
	}
	return cached.plan, nil
}
