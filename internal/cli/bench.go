package cli

type benchCommand struct{}

// Run is replaced by the measurements.
func (c *benchCommand) Run(*session) error {
	return exitWith(ExitUsage, "no measurement yet")
}
