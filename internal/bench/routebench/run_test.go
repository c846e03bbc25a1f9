package routebench_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/internal/bench/routebench"
)

func run(load float64) routebench.Result {
	return routebench.Run(routebench.Config{
		Seed:     3,
		Hosts:    2,
		Runners:  6,
		Slots:    4,
		Load:     load,
		Failing:  0.1,
		Requests: 3000,
	})
}

func TestDeterministic(t *testing.T) {
	for _, load := range []float64{0.9, 2} {
		r := run(load)
		qt.Check(t, r, qt.DeepEquals, run(load))
		for _, p := range r.Policies {
			qt.Check(t, p.Violations, qt.Equals, 0, qt.Commentf("%s", p.Name))
		}
	}
}
