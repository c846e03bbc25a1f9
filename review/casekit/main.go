//go:build review

// Command casekit plays the cases of the review that are scripts: it starts hosts of the
// project as processes, on loopback addresses, and plays the clients, the workers, the
// advisor and the platform's store around them.
//
// It exits with 0 if the rule of the case held, with 1 if it was broken, and with 2 if the
// case could not run.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// playLimit bounds the duration of a case; playLimitLong is for the sheet's status_s.
const (
	playLimit     = 110 * time.Second
	playLimitLong = 400 * time.Second
)

// A play runs one case in c and returns what broke the rule; trouble is false for the run
// without the disruption.
type play func(ctx context.Context, c *cell, trouble bool) ([]string, error)

// A caseSpec is a case and the deployment that it needs.
type caseSpec struct {
	play   play
	config cellConfig
}

func main() {
	os.Exit(run())
}

func run() int {
	name := flag.String("case", "", "rerun, deadworker or lostlease")
	dir := flag.String("dir", "", "folder of the case, for record.txt")
	host := flag.String("host", "target/spoolsill-host", "the program of the deploy file")
	status := flag.Int("status-s", 20, "status_s in the settings, for the case rerun")
	trouble := flag.Bool("trouble", true, "bring the disruption about")
	flag.Parse()
	spec, ok := cases(*status)[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		return exitNotRun
	}
	limit := playLimit
	if *status > 20 {
		limit = playLimitLong
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	broken, err := playCase(ctx, spec, *dir, *host, *trouble)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	case len(broken) > 0:
		fmt.Printf("broken: %d\n", len(broken))
		return exitBroken
	default:
		fmt.Println("held")
		return exitHeld
	}
}

func cases(statusSeconds int) map[string]caseSpec {
	return map[string]caseSpec{
		"rerun": {
			play: playRerun,
			config: cellConfig{
				hosts:         3,
				machines:      6,
				maxHold:       10 * time.Second,
				statusSeconds: statusSeconds,
				taskTime:      300 * time.Millisecond,
			},
		},
		"deadworker": {
			play: playDeadWorker,
			config: cellConfig{
				hosts:         3,
				machines:      6,
				maxHold:       10 * time.Second,
				statusSeconds: sheetStatusSeconds,
				taskTime:      8 * time.Second,
			},
		},
		"lostlease": {
			play: playLostLease,
			config: cellConfig{
				hosts:         3,
				machines:      6,
				maxHold:       10 * time.Second,
				statusSeconds: sheetStatusSeconds,
				taskTime:      time.Hour, // the tasks last
			},
		},
	}
}

func playCase(ctx context.Context, spec caseSpec, dir, host string, trouble bool) ([]string, error) {
	r, err := newRecord(dir)
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(temp) }()
	c, err := startCell(ctx, spec.config, r, temp, host)
	if err != nil {
		return nil, errors.Join(err, r.close())
	}
	broken, err := spec.play(ctx, c, trouble)
	if err == nil {
		err = ctx.Err()
	}
	c.stop()
	for _, b := range broken {
		r.add("BROKEN %s", b)
	}
	if len(broken) == 0 && err == nil {
		r.add("the rule held")
	}
	return broken, errors.Join(err, r.close())
}
