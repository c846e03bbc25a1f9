package intent

import (
	"fmt"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/place"
)

// Defaults of [Config].
const (
	DefaultLife  = 5 * time.Minute
	DefaultPlans = 1000
)

// A Config describes a [Book].
type Config struct {
	// Life is how long a plan can be confirmed.
	Life time.Duration
	// Plans bounds the plans kept; the oldest go first.
	Plans int
}

// A Book keeps plans that wait to be confirmed. It is not safe for concurrent
// use.
type Book struct {
	config Config
	plans  map[spoolsill.PlanID]kept
	order  []spoolsill.PlanID
}

type kept struct {
	plan    place.Plan
	expires time.Time
}

// NewBook returns an empty book.
func NewBook(c Config) *Book {
	if c.Life == 0 {
		c.Life = DefaultLife
	}
	if c.Plans == 0 {
		c.Plans = DefaultPlans
	}
	return &Book{
		config: c,
		plans:  map[spoolsill.PlanID]kept{},
	}
}

// Add keeps a plan and returns when it expires.
func (b *Book) Add(now time.Time, id spoolsill.PlanID, p place.Plan) time.Time {
	for len(b.order) >= b.config.Plans {
		delete(b.plans, b.order[0])
		b.order = b.order[1:]
	}
	end := now.Add(b.config.Life)
	b.plans[id] = kept{
		plan:    p,
		expires: end,
	}
	b.order = append(b.order, id)
	return end
}

// Take returns a plan that can still be confirmed, or a [*place.StaleError].
func (b *Book) Take(now time.Time, id spoolsill.PlanID) (place.Plan, error) {
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
