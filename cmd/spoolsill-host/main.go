// Command spoolsill-host is a host of Spoolsill on the users' platform. It
// reads the settings file that the platform names. See docs/OPERATIONS.md.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/spoolsill/spoolsill/node"
	"github.com/spoolsill/spoolsill/platform"
)

// The exit codes.
const (
	exitOK       = 0
	exitRun      = 1 // it could not listen, or the stop was not clean
	exitSettings = 2 // the settings can't be accepted
)

// memoryShare is the part of the host's memory that the runtime tries to stay
// under; the rest is for sockets' buffers and peaks.
const memoryShare = 0.6

type flags struct {
	Settings string `help:"The platform's settings file (TOML)." env:"SPOOLSILL_BOOT" type:"existingfile" required:""`
	Check    bool   `help:"Check the settings and start nothing."`
}

func main() {
	os.Exit(run())
}

func run() int {
	var f flags
	kong.Parse(&f,
		kong.Name("spoolsill-host"),
		kong.Description("A host of Spoolsill: accepts jobs, and leads the cell when it is its turn."),
	)
	s, err := platform.LoadSettings(f.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if f.Check {
		fmt.Printf("%s: host %s in hall %s\n", f.Settings, s.Host, s.Hall)
		return exitOK
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Memory)))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	ignore := make(chan os.Signal, 1)
	signal.Notify(ignore, syscall.SIGHUP)
	log := newLog()
	err = node.New(node.Config{
		Settings: s,
		Log:      log,
	}).Run(ctx)
	if err != nil {
		log.WithError(err).Error("host ended")
		return exitRun
	}
	return exitOK
}
