// Command spoolsill is the command line of callers and operators of
// Spoolsill. See docs/OPERATING.md.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/spoolsill/spoolsill/internal/demo"
)

type demoCommand struct {
	Seed uint64 `help:"Seed of the random choices." default:"1"`
	JSON bool   `help:"Print the result as JSON." name:"json"`
}

type flags struct {
	Demo demoCommand `cmd:"" help:"Run the whole path with stand-ins, failures included, in one process."`
}

func main() {
	os.Exit(run())
}

func run() int {
	var f flags
	k := kong.Parse(&f, kong.Name("spoolsill"))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "spoolsill:", err)
		return 1
	}
	return 0
}

// Run runs the demo.
func (c *demoCommand) Run(ctx context.Context) error {
	ok, err := demo.Run(ctx, demo.Config{
		Seed: c.Seed,
		JSON: c.JSON,
		Out:  os.Stdout,
	})
	if err == nil && !ok {
		err = fmt.Errorf("a promise was broken")
	}
	return err
}
