// Command spoolsill-host runs a host of a Spoolsill cell on the users' platform. It
// reads the settings file provided by the platform. See docs/OPERATIONS.md.
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

// Exit codes.
const (
	exitOK       = 0
	exitRun      = 1 // listening failed, or the shutdown was not clean
	exitSettings = 2 // invalid settings
)

// memoryLimitFraction is the fraction of the host's memory that is set as the runtime's
// soft limit; the rest is for socket buffers and peaks.
const memoryLimitFraction = 0.6

// leaderGCPercent is the garbage collection target percentage of a leader, in place of
// defaultGCPercent. A leader allocates about 20 MB a second (node.BenchmarkLargeCell)
// and retains little of it. With 1,600 starts a second it used 0.387 of a core with 100
// and 0.268 with 400, in one run each, side by side. On a host with little memory the
// memory limit takes precedence.
const leaderGCPercent = 400

type flags struct {
	Settings string `help:"The platform's settings file (TOML)." env:"SPOOLSILL_BOOT" type:"existingfile" required:""`
	Check    bool   `help:"Check the settings and start nothing."`
	Metrics  int    `help:"The port that the metrics are served at; 0 serves none." default:"9464"`
}

func main() {
	os.Exit(run())
}

func run() int {
	// The handlers are installed first and remain until the process exits, since by
	// default either signal terminates it. Both may arrive during startup, and SIGHUP
	// also during shutdown.
	changed := make(chan os.Signal, 1)
	signal.Notify(changed, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var f flags
	kong.Parse(&f,
		kong.Name("spoolsill-host"),
		kong.Description("A host of Spoolsill: accepts jobs, and leads the cell when elected."),
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
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.Memory)))
	return serve(ctx, changed, f, s)
}

// serve runs the host until ctx is done.
func serve(ctx context.Context, changed <-chan os.Signal, f flags, s platform.Settings) int {
	log := oplog.New(os.Stdout)
	logCtx, stop := context.WithCancel(context.Background())
	go log.Run(logCtx)
	defer log.Wait()
	defer stop()
	go watchSettings(ctx, changed, f.Settings, s, log.Logger)
	m := telemetry.New()
	m.RegisterGauge("spoolsill.log.left", "log lines left out", log.Dropped)
	err := node.New(node.Config{
		Settings:          s,
		Log:               log.Logger,
		Metrics:           m,
		MetricsPort:       f.Metrics,
		LeadershipChanged: setLeaderGC,
	}).Run(ctx)
	if err != nil {
		log.WithError(err).Error("host ended")
		return exitRun
	}
	return exitOK
}

// defaultGCPercent is the runtime's default.
const defaultGCPercent = 100

// setLeaderGC reduces the frequency of garbage collections while the host leads.
func setLeaderGC(leads bool) {
	if leads {
		debug.SetGCPercent(leaderGCPercent)
		return
	}
	debug.SetGCPercent(defaultGCPercent)
}

// watchSettings validates the settings file on each signal and logs whether it differs
// from the current settings. Changed addresses and limits take effect at the next start,
// since a running host keeps its listeners.
func watchSettings(ctx context.Context, changed <-chan os.Signal, file string, current platform.Settings, log *logrus.Logger) {
	for {
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
		s, err := platform.LoadSettings(file)
		if err != nil {
			log.WithError(err).Error("cannot reload settings, keeping the previous ones")
			continue
		}
		log.WithField("changed", !reflect.DeepEqual(s, current)).Info("settings read again")
	}
}
