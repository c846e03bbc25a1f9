package placebench_test

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/internal/bench/placebench"
)

// figures returns a result as JSON, without the fields that depend on the machine's speed.
func figures(t *testing.T) string {
	r := placebench.Run(placebench.Config{
		Seed:     3,
		Workers:  12,
		Load:     0.8,
		Failing:  0.1,
		Duration: 30 * time.Second,
	})
	for i := range r.Policies {
		p := &r.Policies[i]
		qt.Check(t, p.Violations, qt.Equals, 0, qt.Commentf("%s", p.Name))
		p.DecisionUS.P50, p.DecisionUS.P99, p.DecisionUS.P999, p.DecisionsPerSecond = 0, 0, 0, 0
	}
	b, err := json.Marshal(r)
	qt.Assert(t, err, qt.IsNil)
	return string(b)
}

func TestDeterministic(t *testing.T) {
	qt.Assert(t, figures(t), qt.Equals, figures(t))
}
