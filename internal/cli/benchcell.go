package cli

import (
	"fmt"
	"io"
	"time"

	"github.com/spoolsill/spoolsill/internal/bench/cellbench"
)

type benchCell struct {
	Seed     uint64        `help:"Seed of the first input." default:"1"`
	Seeds    int           `help:"How many inputs of each mix." default:"4"`
	Load     float64       `help:"Factor on how many jobs come." default:"1"`
	Duration time.Duration `help:"Virtual time in which jobs come." default:"4m"`
}

// Run simulates a complete cell for each workload mix and seed.
func (c *benchCell) Run(s *session) error {
	var results []cellbench.Result
	for _, m := range cellbench.Mixes() {
		for i := range c.Seeds {
			r := cellbench.Run(m.Config(c.Seed+uint64(i), c.Duration, c.Load))
			r.Mix = m.Name
			results = append(results, r)
		}
	}
	return s.print(results, func(w io.Writer) {
		t := newTable(w, "mix", "seed", "queue", "jobs", "worth", "in time", "late", "not served", "duration p50 ms", "p99 ms")
		for _, r := range results {
			for _, k := range r.Kinds {
				t.addRow(r.Mix, fmt.Sprint(r.Seed), k.Name, fmt.Sprint(k.Jobs), fmt.Sprintf("%.3f", k.Worth), fmt.Sprintf("%.3f", k.InTime), fmt.Sprintf("%.3f", k.Late), fmt.Sprintf("%.3f", k.NotServed), fmt.Sprintf("%.0f", k.TookMS.P50), fmt.Sprintf("%.0f", k.TookMS.P99))
			}
			t.addRow(r.Mix, fmt.Sprint(r.Seed), "all", "", fmt.Sprintf("%.3f", r.Worth), "", "", fmt.Sprintf("%d stops", r.Stops), "", "")
		}
		t.flush()
	})
}
