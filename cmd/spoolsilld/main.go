// Command spoolsilld runs an entry host of Spoolsill. See docs/OPERATIONS.md.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/entry"
	"github.com/spoolsill/spoolsill/settings"
)

// Exit codes.
const (
	exitOK              = 0
	exitFailure         = 1 // the host could not listen, or did not stop cleanly
	exitInvalidSettings = 2 // the settings are invalid
	exitForced          = 3 // a second signal ended the process during a stop
)

type flags struct {
	Settings string           `help:"The settings file (TOML)." required:"" type:"existingfile"`
	Host     spoolsill.HostID `help:"Which host of the file this is, in place of host.id." env:"SPOOLSILL_HOST"`
	Check    bool             `help:"Check the settings and start nothing."`
}

func main() {
	os.Exit(run())
}

func run() int {
	var f flags
	kong.Parse(&f,
		kong.Name("spoolsilld"),
		kong.Description("The entry host of Spoolsill: serves callers and operators, routes requests and places the tasks of its hall."),
	)
	s, err := settings.Load(f.Settings, f.Host)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalidSettings
	}
	if f.Check {
		fmt.Printf("%s: host %s in hall %s, %d halls, %d services\n", f.Settings, s.Host.ID, s.OwnHall().ID, len(s.Halls), len(s.Services))
		return exitOK
	}
	return serve(s)
}

// serve runs the host until it fails or a signal stops it, and returns the exit code.
func serve(s settings.Settings) int {
	log := newLog(s.Log.Level)
	host := entry.New(entry.Config{
		Settings: s,
		Log:      log,
	})
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	done := make(chan error, 1)
	go func() { done <- host.Run(context.Background()) }()
	select {
	case err := <-done:
		log.WithError(err).Error("host ended")
		return exitFailure
	case <-signals:
	}
	return stop(host, s, signals)
}

// stop stops the host gracefully and returns the exit code. It returns early on a second
// signal.
func stop(host *entry.Host, s settings.Settings, signals <-chan os.Signal) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(s.Host.StopTimeout))
	defer cancel()
	clean := make(chan bool, 1)
	go func() { clean <- host.Stop(ctx) }()
	select {
	case ok := <-clean:
		if !ok {
			return exitFailure
		}
		return exitOK
	case <-signals:
		return exitForced
	}
}

func newLog(level string) *logrus.Logger {
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{
		TimestampFormat: time.RFC3339Nano,
	})
	log.SetOutput(os.Stderr)
	if l, err := logrus.ParseLevel(level); err == nil {
		log.SetLevel(l)
	}
	return log
}
