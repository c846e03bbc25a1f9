package cellbench_test

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/internal/bench/cellbench"
)

func figures(t *testing.T, c cellbench.Config) string {
	r := cellbench.Run(c)
	qt.Check(t, r.Violations, qt.HasLen, 0)
	b, err := json.Marshal(r)
	qt.Assert(t, err, qt.IsNil)
	return string(b)
}

func TestDeterministic(t *testing.T) {
	for _, m := range cellbench.Mixes() {
		c := m.Config(3, 20*time.Second, 1)
		qt.Assert(t, figures(t, c), qt.Equals, figures(t, c), qt.Commentf("%s", m.Name))
	}
}

// At a load of 5%, more than 80% of the worth must be earned.
func TestIdleCellServesInTime(t *testing.T) {
	for _, m := range cellbench.Mixes() {
		r := cellbench.Run(m.Config(3, time.Minute, 0.05))
		qt.Check(t, r.Worth > 0.8, qt.IsTrue, qt.Commentf("%s: %v", m.Name, r))
	}
}
