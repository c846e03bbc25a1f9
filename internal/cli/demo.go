package cli

import (
	"github.com/spoolsill/spoolsill/internal/demo"
)

type demoCommand struct {
	Seed uint64 `help:"Seed of the random choices." default:"1"`
}

// Run runs the demo. It returns an error if an invariant was violated.
func (c *demoCommand) Run(s *session) error {
	ok, err := demo.Run(s.ctx(), demo.Config{
		Seed: c.Seed,
		JSON: s.json,
		Out:  s.env.Out,
	})
	if err == nil && !ok {
		return exitErrorf(ExitFailed, "a promise was broken")
	}
	return err
}
