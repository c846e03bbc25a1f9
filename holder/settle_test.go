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

// oneWorker is a hall with one worker, in memory.
func oneWorker() standin.CellConfig {
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

// oneHost is one entry host for it.
func oneHost(cell *standin.Cell, b holder.Breaks) fleet.Config {
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

// takeOver has a hall's only worker run a task that no record names, then
// starts the hall's host and submits a job that needs the whole worker. It
// returns how often the worker was given more than it has, and the state of
// the job's task after a while.
func takeOver(t *testing.T, b holder.Breaks) (over int, state spoolsill.TaskState) {
	c := qt.New(t)
	cell, err := standin.NewCell(oneWorker())
	c.Assert(err, qt.IsNil)
	defer cell.Close()
	agents := agent.NewClient(agent.Config{
		Dial: cell.Network.Dialer(fleet.OutsideNode),
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
	f, err := fleet.New(oneHost(cell, b))
	c.Assert(err, qt.IsNil)
	defer f.Close()
	c.Assert(f.WaitReady(ctx), qt.IsNil)
	client := f.Client()
	defer client.HTTPClient.CloseIdleConnections()
	p, err := client.Plan(ctx, api.PlanRequest{
		Submit: "id = \"whole\"\nteam = \"t\"\nkind = \"batch\"\ntasks = 1\nprocessors = \"8\"\nmemory = \"1GiB\"\nruntime = \"1h\"\n",
	})
	c.Assert(err, qt.IsNil)
	c.Assert(client.Confirm(ctx, p.Hall, p.ID), qt.IsNil)
	pause.For(ctx, 10*time.Second)
	d, err := client.Job(ctx, "whole")
	c.Assert(err, qt.IsNil)
	counts, _ := cell.Truth.Broken()
	return counts[standin.Capacity], d.Tasks[0].State
}

func TestAWorkerWithStraysGetsNothingNewBesideThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		over, state := takeOver(t, holder.Breaks{})
		qt.Check(t, over, qt.Equals, 0)
		qt.Check(t, state, qt.Equals, spoolsill.TaskRunning)
	})
}

// TestCapacityNeedsSettlingBeforeDeciding decides before the worker is listed.
// The first renewal comes at a random time, so that one try may see the stray
// early; not all do.
func TestCapacityNeedsSettlingBeforeDeciding(t *testing.T) {
	const tries = 30
	over := 0
	for range tries {
		synctest.Test(t, func(t *testing.T) {
			n, _ := takeOver(t, holder.Breaks{
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

// startAtPausedWorker has a task placed at a worker that is paused, so that its
// start and a renewal meet there, and returns the task's events.
func startAtPausedWorker(t *testing.T) string {
	c := qt.New(t)
	cell, err := standin.NewCell(oneWorker())
	c.Assert(err, qt.IsNil)
	defer cell.Close()
	f, err := fleet.New(oneHost(cell, holder.Breaks{}))
	c.Assert(err, qt.IsNil)
	defer f.Close()
	ctx := context.Background()
	c.Assert(f.WaitReady(ctx), qt.IsNil)
	client := f.Client()
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

// A renewal that the worker answered before the start, and that is heard of after
// it, proves nothing: a task that runs would be started once more. Which of the two
// comes first is chance, so that there are several tries.
func TestARenewalThatAStartHasOvertakenProvesNothing(t *testing.T) {
	const tries = 200
	for range tries {
		synctest.Test(t, func(t *testing.T) {
			text := startAtPausedWorker(t)
			qt.Assert(t, text, qt.Contains, "task runs")
			qt.Assert(t, text, qt.Not(qt.Contains), "does not know the task")
		})
	}
}

// TestATaskThatUsesFarMoreThanItDeclaredLeavesItsWorker has the worker report
// four times the declared processors.
func TestATaskThatUsesFarMoreThanItDeclaredLeavesItsWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := oneWorker()
		w.Use = func(s agent.StartRequest) spoolsill.Resources { return s.Shape.Times(4) }
		cell, err := standin.NewCell(w)
		c.Assert(err, qt.IsNil)
		defer cell.Close()
		f, err := fleet.New(oneHost(cell, holder.Breaks{}))
		c.Assert(err, qt.IsNil)
		defer f.Close()
		ctx := context.Background()
		c.Assert(f.WaitReady(ctx), qt.IsNil)
		client := f.Client()
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
