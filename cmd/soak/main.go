// Command soak runs hosts as separate processes, injects faults into them and their
// network, and checks meanwhile that the cell's invariants hold. See docs/OPERATIONS.md.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"golang.org/x/sync/errgroup"

	"github.com/spoolsill/spoolsill/internal/soak"
)

type flags struct {
	Binary   string        `help:"The spoolsill-host to run." type:"existingfile" required:""`
	Dir      string        `help:"Where settings, logs and stories go; a new folder for temporary files if empty."`
	Seed     uint64        `help:"The first seed." default:"1"`
	Seeds    uint64        `help:"How many seeds to run." default:"1"`
	Together int           `help:"How many to run at once." default:"1"`
	Duration time.Duration `help:"How long harm is done in each run." default:"20s"`
	Hosts    int           `help:"Hosts of a run." default:"5"`
	Workers  int           `help:"Workers of a run." default:"12"`
	Clients  int           `help:"Clients of a run." default:"12"`
	LinkMbps float64       `help:"The bandwidth of their links that hosts are told, in Mbit/s; 0 for none."`
	Troubled bool          `help:"Have tasks crash workers, workers' rooms move, and others write among their entries."`
}

func main() {
	var f flags
	k := kong.Parse(&f,
		kong.Name("soak"),
		kong.Description("Injects faults into hosts and their network, and checks that the cell's guarantees hold."),
	)
	k.FatalIfErrorf(run(f))
}

func run(f flags) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if f.Dir == "" {
		d, err := os.MkdirTemp("", "soak")
		if err != nil {
			return err
		}
		f.Dir = d
	}
	binary, err := filepath.Abs(f.Binary)
	if err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(max(f.Together, 1))
	failed := make(chan uint64, f.Seeds)
	for i := range f.Seeds {
		g.Go(func() error { return runSeed(ctx, f, binary, f.Seed+i, failed) })
	}
	err = g.Wait()
	close(failed)
	if err == nil && len(failed) > 0 {
		return fmt.Errorf("guarantees were violated with %d seeds; logs are in %s", len(failed), f.Dir)
	}
	return err
}

// runSeed executes the run of one seed and prints the result. It removes the files of a run
// without violations.
func runSeed(ctx context.Context, f flags, binary string, seed uint64, failed chan<- uint64) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	dir := filepath.Join(f.Dir, fmt.Sprintf("seed%d", seed))
	r, err := soak.Run(ctx, soak.Config{
		Binary:   binary,
		Dir:      dir,
		Seed:     seed,
		Duration: f.Duration,
		Hosts:    f.Hosts,
		Workers:  f.Workers,
		Clients:  f.Clients,
		Troubled: f.Troubled,
		LinkMbps: f.LinkMbps,
	})
	if err != nil {
		return err
	}
	fmt.Printf("seed %d: %s\n", seed, r)
	for _, b := range r.Broken {
		fmt.Println("  ", b)
	}
	if len(r.Broken) == 0 {
		return os.RemoveAll(dir)
	}
	failed <- seed
	return nil
}
