// Command spoolsill is the command-line client of Spoolsill for callers and operators. See
// docs/OPERATIONS.md.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spoolsill/spoolsill/internal/cli"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return cli.Main(cli.Env{
		Context: ctx,
		In:      os.Stdin,
		Out:     os.Stdout,
		Err:     os.Stderr,
	}, os.Args[1:])
}
