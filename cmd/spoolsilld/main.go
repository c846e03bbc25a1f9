// Command spoolsilld is the entry host of Spoolsill. See docs/OPERATIONS.md.
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

// The exit codes.
const (
	exitOK       = 0
	exitRun      = 1 // it could not listen, or the stop was not clean
	exitSettings = 2 // the settings can't be accepted
	exitForced   = 3 // a second signal ended it at once
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
		return exitSettings
	}
	if f.Check {
		fmt.Printf("%s: host %s in hall %s, %d halls, %d services\n", f.Settings, s.Host.ID, s.OwnHall().ID, len(s.Halls), len(s.Services))
		return exitOK
	}
	return serve(s)
}

func serve(s settings.Settings) int {
	log := newLog(s.Log.Level)
	h := entry.New(entry.Config{
		Settings: s,
		Log:      log,
	})
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	done := make(chan error, 1)
	go func() { done <- h.Run(context.Background()) }()
	select {
	case err := <-done:
		log.WithError(err).Error("host ended")
		return exitRun
	case <-signals:
	}
	return stop(h, s, signals)
}

// stop ends the host as planned. A second signal ends it at once.
func stop(h *entry.Host, s settings.Settings, signals <-chan os.Signal) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(s.Host.StopTimeout))
	defer cancel()
	clean := make(chan bool, 1)
	go func() { clean <- h.Stop(ctx) }()
	select {
	case ok := <-clean:
		if !ok {
			return exitRun
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
