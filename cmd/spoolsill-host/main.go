// Command spoolsill-host is a host of Spoolsill on the users' platform. It
// reads the settings file that the platform names. See docs/OPERATIONS.md.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"

	"github.com/spoolsill/spoolsill/node"
	"github.com/spoolsill/spoolsill/oplog"
	"github.com/spoolsill/spoolsill/platform"
	"github.com/spoolsill/spoolsill/telemetry"
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

// leaderGC is by how many percent a leader's memory may grow between two collections,
// in place of 100: it allocates some 20 MB a second (node.BenchmarkLargeCell), and keeps
// little of it. A leader of 1,600 starts a second used 0.387 of a core with 100 and 0.268
// with 400 (one play each, side by side). The limit on memory comes first on a host that
// has little.
const leaderGC = 400

type flags struct {
	Settings string `help:"The platform's settings file (TOML)." env:"SPOOLSILL_BOOT" type:"existingfile" required:""`
	Check    bool   `help:"Check the settings and start nothing."`
	Metrics  int    `help:"The port that the metrics are served at; 0 serves none." default:"9464"`
}

func main() {
	os.Exit(run())
}

func run() int {
	// First of all, and for the whole life: by default either signal ends the process,
	// and they may come while it starts, and the one on settings while it stops.
	changed := make(chan os.Signal, 1)
	signal.Notify(changed, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
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
	return serve(ctx, changed, f, s)
}

// serve runs the host until ctx ends.
func serve(ctx context.Context, changed <-chan os.Signal, f flags, s platform.Settings) int {
	log := oplog.New(os.Stdout)
	logging, stop := context.WithCancel(context.Background())
	go log.Run(logging)
	defer log.Wait()
	defer stop()
	go reload(ctx, changed, f.Settings, s, log.Logger)
	m := telemetry.New()
	m.RegisterGauge("spoolsill.log.left", "log lines left out", log.LeftOut)
	err := node.New(node.Config{
		Settings:    s,
		Log:         log.Logger,
		Metrics:     m,
		MetricsPort: f.Metrics,
		Leads:       collectSeldom,
	}).Run(ctx)
	if err != nil {
		log.WithError(err).Error("host ended")
		return exitRun
	}
	return exitOK
}

// usualGC is the runtime's default.
const usualGC = 100

// collectSeldom has the runtime collect garbage less often while the host leads.
func collectSeldom(leads bool) {
	if leads {
		debug.SetGCPercent(leaderGC)
		return
	}
	debug.SetGCPercent(usualGC)
}

// reload checks the settings file whenever it is told that it changed, and tells what
// it finds. What the file says of addresses and limits holds from the next start on: a
// host keeps the ones that it listens on.
func reload(ctx context.Context, changed <-chan os.Signal, file string, now platform.Settings, log *logrus.Logger) {
	for {
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
		s, err := platform.LoadSettings(file)
		if err != nil {
			log.WithError(err).Error("settings can't be reloaded, the former ones stay")
			continue
		}
		log.WithField("changed", !reflect.DeepEqual(s, now)).Info("settings read again")
	}
}
