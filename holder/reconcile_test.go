package holder_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/agent"
	"github.com/spoolsill/spoolsill/api"
	"github.com/spoolsill/spoolsill/entry"
	"github.com/spoolsill/spoolsill/holder"
	"github.com/spoolsill/spoolsill/internal/fleet"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/internal/standin"
	"github.com/spoolsill/spoolsill/settings"
	"github.com/spoolsill/spoolsill/timeline"
)

// cellConfig returns the configuration of a cell with one hall and one worker, on
// an in-memory network.
func cellConfig() standin.CellConfig {
	return standin.CellConfig{
		Halls:    []spoolsill.HallID{"vake"},
		Workers:  1,
		RackSize: 1,
		Capacity: spoolsill.Resources{
			Processors: 8 * spoolsill.Core,
			Memory:     16 * spoolsill.GiB,
		},
		Service: "quizdesk",
		Runners: 1,
		Slots:   1,
		Memory:  true,
	}
}

// fleetConfig returns the configuration of a fleet with a single entry host.
func fleetConfig(cell *standin.Cell, b holder.Breaks) fleet.Config {
	return fleet.Config{
		Cell:         cell,
		Halls:        []spoolsill.HallID{"vake"},
		HostsPerHall: 1,
		HallLease:    2 * time.Second,
		TaskLease:    4 * time.Second,
		Break: entry.Breaks{
			Holder: b,
		},
		Service: settings.Service{
			ID:           "quizdesk",
			Slots:        1,
			SlotLifetime: settings.Duration(time.Second),
		},
	}
}

// takeOverWithUnknownTask starts a task on the hall's only worker that is in no
// record, then starts the hall's host and submits a job that needs the whole
// worker. It returns how often the capacity of the worker was exceeded, and the
// state of the job's task after 10 seconds.
func takeOverWithUnknownTask(t *testing.T, b holder.Breaks) (over int, state spoolsill.TaskState) {
	c := qt.New(t)
	cell, err := standin.NewCell(cellConfig())
	c.Assert(err, qt.IsNil)
	defer cell.Close()
	agents := agent.NewClient(agent.Config{
		Dial: cell.Network.Dialer(fleet.ExternalNode),
	})
	defer agents.Close()
	ctx := context.Background()
	c.Assert(agents.Start(ctx, cell.Platform.Members().Workers[0].Address, agent.StartRequest{
		Task: spoolsill.TaskID{
			Job: "stray",
		},
		Attempt: 1,
		Shape: spoolsill.Resources{
			Processors: 6 * spoolsill.Core,
		},
		LeaseEnd: time.Now().Add(time.Hour).UnixMilli(),
	}), qt.IsNil)
	f, err := fleet.New(fleetConfig(cell, b))
	c.Assert(err, qt.IsNil)
	defer f.Close()
	c.Assert(f.WaitReady(ctx), qt.IsNil)
	client := f.OperatorClient()
	defer client.HTTPClient.CloseIdleConnections()
	p, err := client.Plan(ctx, api.PlanRequest{
		Submit: "id = \"whole\"\nteam = \"t\"\nkind = \"batch\"\ntasks = 1\nprocessors = \"8\"\nmemory = \"1GiB\"\nruntime = \"1h\"\n",
	})
	c.Assert(err, qt.IsNil)
	c.Assert(client.Confirm(ctx, p.Hall, p.ID), qt.IsNil)
	pause.For(ctx, 10*time.Second)
	d, err := client.Job(ctx, "whole")
	c.Assert(err, qt.IsNil)
	counts, _ := cell.Truth.Violations()
	return counts[standin.InvariantCapacity], d.Tasks[0].State
}

func TestWorkerWithUnknownTasksGetsNoNewTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		over, state := takeOverWithUnknownTask(t, holder.Breaks{})
		qt.Check(t, over, qt.Equals, 0)
		qt.Check(t, state, qt.Equals, spoolsill.TaskRunning)
	})
}

// TestCapacityIsExceededWithoutReconciliation has the holder make decisions
// before the worker's tasks are known. The first renewal is sent at a random time
// and may reveal the unknown task early, so the test makes several attempts.
func TestCapacityIsExceededWithoutReconciliation(t *testing.T) {
	const tries = 30
	over := 0
	for range tries {
		synctest.Test(t, func(t *testing.T) {
			n, _ := takeOverWithUnknownTask(t, holder.Breaks{
				Settle: true,
			})
			over += n
		})
		if over > 0 {
			return
		}
	}
	t.Fatalf("not over capacity in %d tries", tries)
}

// startOnPausedWorker submits a job while the only worker is paused, so that the
// start request and a renewal are pending there at the same time. It returns the
// texts of the task's events.
func startOnPausedWorker(t *testing.T) string {
	c := qt.New(t)
	cell, err := standin.NewCell(cellConfig())
	c.Assert(err, qt.IsNil)
	defer cell.Close()
	f, err := fleet.New(fleetConfig(cell, holder.Breaks{}))
	c.Assert(err, qt.IsNil)
	defer f.Close()
	ctx := context.Background()
	c.Assert(f.WaitReady(ctx), qt.IsNil)
	client := f.OperatorClient()
	defer client.HTTPClient.CloseIdleConnections()
	worker := string(cell.Platform.Members().Workers[0].ID)
	cell.Network.SetPaused(worker, true)
	p, err := client.Plan(ctx, api.PlanRequest{
		Submit: "id = \"late\"\nteam = \"t\"\nkind = \"batch\"\ntasks = 1\nprocessors = \"1\"\nmemory = \"1GiB\"\nruntime = \"1h\"\n",
	})
	c.Assert(err, qt.IsNil)
	c.Assert(client.Confirm(ctx, p.Hall, p.ID), qt.IsNil)
	pause.For(ctx, 800*time.Millisecond)
	cell.Network.SetPaused(worker, false)
	pause.For(ctx, 3*time.Second)
	l, err := client.Timeline(ctx, timeline.Filter{
		Task: "late.0",
	}, 100)
	c.Assert(err, qt.IsNil)
	text := ""
	for _, e := range l.Events {
		text += e.Text + "\n"
	}
	return text
}

// TestRenewalSentBeforeStartDoesNotLoseTask guards against starting a running
// task a second time. The worker may process a renewal before the start request
// while the responses arrive in the opposite order, so the task may be running
// even if the report lacks it. The order in which the worker processes the two
// is random, hence the number of attempts.
func TestRenewalSentBeforeStartDoesNotLoseTask(t *testing.T) {
	const tries = 200
	for range tries {
		synctest.Test(t, func(t *testing.T) {
			text := startOnPausedWorker(t)
			qt.Assert(t, text, qt.Contains, "task runs")
			qt.Assert(t, text, qt.Not(qt.Contains), "does not know the task")
		})
	}
}

// TestTaskThatExceedsItsDeclaredResourcesIsCheckpointed makes the worker report
// four times the declared resources as used.
func TestTaskThatExceedsItsDeclaredResourcesIsCheckpointed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := cellConfig()
		w.Use = func(s agent.StartRequest) spoolsill.Resources { return s.Shape.Times(4) }
		cell, err := standin.NewCell(w)
		c.Assert(err, qt.IsNil)
		defer cell.Close()
		f, err := fleet.New(fleetConfig(cell, holder.Breaks{}))
		c.Assert(err, qt.IsNil)
		defer f.Close()
		ctx := context.Background()
		c.Assert(f.WaitReady(ctx), qt.IsNil)
		client := f.OperatorClient()
		defer client.HTTPClient.CloseIdleConnections()
		p, err := client.Plan(ctx, api.PlanRequest{
			Submit: "id = \"greedy\"\nteam = \"t\"\nkind = \"batch\"\ntasks = 1\nprocessors = \"1\"\nmemory = \"1GiB\"\nruntime = \"1h\"\n",
		})
		c.Assert(err, qt.IsNil)
		c.Assert(client.Confirm(ctx, p.Hall, p.ID), qt.IsNil)
		pause.For(ctx, 15*time.Second)
		l, err := client.Timeline(ctx, timeline.Filter{
			Task: "greedy.0",
		}, 100)
		c.Assert(err, qt.IsNil)
		text := ""
		for _, e := range l.Events {
			text += e.Text + "\n"
		}
		c.Assert(text, qt.Contains, "task is checkpointed: it used far more than it declared")
	})
}
