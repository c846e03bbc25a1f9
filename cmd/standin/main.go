// Command standin runs a fake platform, workers and runners on the loopback interface, for
// trying out entry hosts. See README.md.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/standin"
)

type flags struct {
	Platform string        `help:"IP and port of the platform." default:"127.0.0.1:6000"`
	Halls    string        `help:"Halls, separated by commas." default:"vake,saburtalo,didube"`
	Service  string        `help:"Service of the runners." default:"quizdesk"`
	Workers  int           `help:"Workers in all." default:"50"`
	Rack     int           `help:"Workers in a rack." default:"8"`
	Cores    int64         `help:"Cores of a worker." default:"64"`
	Memory   int64         `help:"GiB of memory of a worker." default:"128"`
	Runners  int           `help:"Runners in all." default:"50"`
	Slots    int           `help:"Requests that a runner takes at once." default:"8"`
	Work     time.Duration `help:"Mean time that a request takes." default:"10ms"`
}

func main() {
	var f flags
	k := kong.Parse(&f,
		kong.Name("standin"),
		kong.Description("Stand-ins for a platform, workers and runners on loopback."),
	)
	k.FatalIfErrorf(run(f))
}

// run runs the fakes until a signal arrives, then prints the violations of invariants.
func run(f flags) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var halls []spoolsill.HallID
	for _, h := range strings.Split(f.Halls, ",") {
		halls = append(halls, spoolsill.HallID(strings.TrimSpace(h)))
	}
	cell, err := standin.NewCell(standin.CellConfig{
		Halls:    halls,
		Workers:  f.Workers,
		RackSize: f.Rack,
		Capacity: spoolsill.Resources{
			Processors: spoolsill.Millicores(f.Cores) * spoolsill.Core,
			Memory:     spoolsill.Bytes(f.Memory) * spoolsill.GiB,
		},
		Service:  spoolsill.ServiceID(f.Service),
		Runners:  f.Runners,
		Slots:    f.Slots,
		Platform: f.Platform,
		Work: func(spoolsill.RequestKey) time.Duration {
			return time.Duration(rand.ExpFloat64() * float64(f.Work))
		},
	})
	if err != nil {
		return err
	}
	defer cell.Close()
	fmt.Printf("platform at %s, %d workers and %d runners in %s\n", cell.URL, f.Workers, f.Runners, f.Halls)
	cell.Wait(ctx)
	counts, cases := cell.Truth.Violations()
	n := 0
	for _, k := range counts {
		n += k
	}
	fmt.Printf("broken promises: %d\n", n)
	for _, s := range cases {
		fmt.Println(s)
	}
	return nil
}
