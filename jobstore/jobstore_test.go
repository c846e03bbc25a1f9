package jobstore_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/cellfake"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/jobstore"
	"github.com/spoolsill/spoolsill/sched"
	"github.com/spoolsill/spoolsill/store"
)

// withWriter runs f withWriter a writer on a store in memory, on virtual time.
func withWriter(t *testing.T, f func(ctx context.Context, c *qt.C, s *cellfake.Store, w *jobstore.Writer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := cellfake.NewStore()
		w := jobstore.NewWriter(jobstore.Writer{
			Store:     s,
			Partition: "host",
			Timeout:   func() time.Duration { return 300 * time.Millisecond },
		})
		ctx, cancel := context.WithCancel(t.Context())
		var g sync.WaitGroup
		g.Go(func() { w.Run(ctx) })
		defer g.Wait()
		defer cancel()
		f(ctx, qt.New(t), s, w)
	})
}

func job(id, spec string) sched.Job {
	return sched.Job{
		ID:       spoolsill.JobID(id),
		Queue:    "q",
		Spec:     spec,
		Received: time.Now(),
	}
}

func TestSameJobIsKeptOnce(t *testing.T) {
	withWriter(t, func(ctx context.Context, c *qt.C, _ *cellfake.Store, w *jobstore.Writer) {
		o, _ := w.Accept(ctx, job("j", "s"))
		c.Assert(o, qt.Equals, jobstore.Accepted)
		pause.For(ctx, time.Second)
		o, _ = w.Accept(ctx, job("j", "s"))
		c.Assert(o, qt.Equals, jobstore.Duplicate)
		o, _ = w.Accept(ctx, job("j", "other"))
		c.Assert(o, qt.Equals, jobstore.Conflict)
	})
}

// A write whose answer is lost is made again and found done.
func TestLostAnswersAreNotLostJobs(t *testing.T) {
	for _, f := range []cellfake.StoreFault{cellfake.StoreLose, cellfake.StoreLate} {
		withWriter(t, func(ctx context.Context, c *qt.C, s *cellfake.Store, w *jobstore.Writer) {
			var calls atomic.Int32
			s.SetFault(func(store.Transaction) cellfake.StoreFault {
				if calls.Add(1) == 1 {
					return f
				}
				return cellfake.StoreWell
			})
			o, _ := w.Accept(ctx, job("j", "s"))
			c.Assert(o, qt.Equals, jobstore.Accepted)
			pause.For(ctx, 5*time.Second)
			p, err := s.List(ctx, jobstore.JobsTable, "host", "", 0)
			c.Assert(err, qt.IsNil)
			c.Assert(p.Rows, qt.HasLen, 1)
		})
	}
}

// Jobs that come while a write is under way share the next one.
func TestJobsShareWrites(t *testing.T) {
	withWriter(t, func(ctx context.Context, c *qt.C, s *cellfake.Store, w *jobstore.Writer) {
		var writes atomic.Int32
		s.SetFault(func(store.Transaction) cellfake.StoreFault {
			writes.Add(1)
			return cellfake.StoreWell
		})
		var g sync.WaitGroup
		for i := range 100 {
			g.Go(func() {
				o, err := w.Accept(ctx, job(fmt.Sprint(i), "s"))
				c.Check(err, qt.IsNil)
				c.Check(o, qt.Equals, jobstore.Accepted)
			})
		}
		g.Wait()
		c.Assert(writes.Load() <= 5, qt.IsTrue, qt.Commentf("%d writes", writes.Load()))
	})
}

// Refused is said only when nothing was written; a client that leaves learns
// nothing.
func TestRefusedAndUnknown(t *testing.T) {
	withWriter(t, func(ctx context.Context, c *qt.C, s *cellfake.Store, w *jobstore.Writer) {
		s.TurnAway(true)
		o, _ := w.Accept(ctx, job("j", "s"))
		c.Assert(o, qt.Equals, jobstore.Refused)
		s.TurnAway(false)
		s.SetFault(func(store.Transaction) cellfake.StoreFault { return cellfake.StoreLose })
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		o, _ = w.Accept(short, job("j", "s"))
		c.Assert(o, qt.Equals, jobstore.Unknown)
	})
}

// A store that breaks all connections is not called as fast as it does so: each
// call costs, and all hosts make them at once.
func TestBrokenConnectionsAreNotTriedAtOnce(t *testing.T) {
	withWriter(t, func(ctx context.Context, c *qt.C, s *cellfake.Store, w *jobstore.Writer) {
		var writes atomic.Int32
		s.SetFault(func(store.Transaction) cellfake.StoreFault {
			writes.Add(1)
			return cellfake.StoreBreak
		})
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		o, _ := w.Accept(short, job("j", "s"))
		c.Assert(o, qt.Equals, jobstore.Unknown)
		c.Assert(writes.Load() <= 8, qt.IsTrue, qt.Commentf("%d writes in a second", writes.Load()))
		s.SetFault(nil)
		o, _ = w.Accept(ctx, job("k", "s"))
		c.Assert(o, qt.Equals, jobstore.Accepted)
	})
}

func TestStateFromTheStore(t *testing.T) {
	withWriter(t, func(ctx context.Context, c *qt.C, s *cellfake.Store, w *jobstore.Writer) {
		_, known, err := jobstore.ReadState(ctx, s, "j")
		c.Assert(err, qt.IsNil)
		c.Assert(known, qt.IsFalse)
		_, err = w.Accept(ctx, job("j", "s"))
		c.Assert(err, qt.IsNil)
		x, known, err := jobstore.ReadState(ctx, s, "j")
		c.Assert(err, qt.IsNil)
		c.Assert(known, qt.IsTrue)
		c.Assert(x.State, qt.Equals, sched.Pending)
		c.Assert(jobstore.Cancel(ctx, s, "another host", "j"), qt.IsNil)
		x, _, err = jobstore.ReadState(ctx, s, "j")
		c.Assert(err, qt.IsNil)
		c.Assert(x.State, qt.Equals, sched.Cancelled)
	})
}

// Hosts of the release before teams keep jobs of nobody, and hand on jobs without the
// team that another host has read from the key.
func TestJobsOfBothReleasesAreTheSame(t *testing.T) {
	for _, x := range []struct {
		name        string
		kept, again spoolsill.TeamID
		want        jobstore.Outcome
	}{
		{"the same team", "a", "a", jobstore.Duplicate},
		{"kept by a host of the former release", "", "a", jobstore.Duplicate},
		{"handed on by a host of the former release", "a", "", jobstore.Duplicate},
		{"another team", "a", "b", jobstore.Conflict},
	} {
		t.Run(x.name, func(t *testing.T) {
			withWriter(t, func(ctx context.Context, c *qt.C, _ *cellfake.Store, w *jobstore.Writer) {
				j := job("j", "s")
				j.Team = x.kept
				o, _ := w.Accept(ctx, j)
				c.Assert(o, qt.Equals, jobstore.Accepted)
				pause.For(ctx, time.Second)
				j = job("j", "s")
				j.Team = x.again
				o, _ = w.Accept(ctx, j)
				c.Assert(o, qt.Equals, x.want)
			})
		})
	}
}

// Whose a job is can be read from the store as long as it can be asked about.
func TestTeamFromTheStore(t *testing.T) {
	withWriter(t, func(ctx context.Context, c *qt.C, s *cellfake.Store, w *jobstore.Writer) {
		j := job("j", "s")
		j.Team = "a"
		_, err := w.Accept(ctx, j)
		c.Assert(err, qt.IsNil)
		x, _, err := jobstore.ReadState(ctx, s, "j")
		c.Assert(err, qt.IsNil)
		c.Check(x.Team, qt.Equals, spoolsill.TeamID("a"))
		v, err := sched.EncodeProgress(sched.Progress{
			State: sched.Completed,
			Team:  "a",
		})
		c.Assert(err, qt.IsNil)
		_, err = s.Commit(ctx, store.Transaction{
			Puts: []store.Put{
				{
					Key:   jobstore.ProgressKey("k"),
					Value: v,
				},
			},
		})
		c.Assert(err, qt.IsNil)
		x, _, err = jobstore.ReadState(ctx, s, "k")
		c.Assert(err, qt.IsNil)
		c.Check(x.Team, qt.Equals, spoolsill.TeamID("a"))
		c.Check(x.State, qt.Equals, sched.Completed)
	})
}

// A typicalJob is like most that clients hand in, with a short spec.
func typicalJob() sched.Job {
	return sched.Job{
		ID:       "5c0e7a21d94b36f8",
		Queue:    "r-xft2ez8",
		Spec:     "x",
		Received: time.Unix(1_780_000_000, 0),
		Steps: []sched.Step{
			{
				Tasks: 10,
				Need: spoolsill.Resources{
					Processors: 3900,
					Memory:     4 * spoolsill.GiB,
				},
				Estimate: 2200 * time.Millisecond,
			},
		},
	}
}

// Guards against rows that are mostly names of fields that are zero: at a take-over the
// leader reads a row of each job over its link, and later those of all new ones.
func TestRowsOfJobsAreShort(t *testing.T) {
	b, err := jobstore.EncodeJob(typicalJob())
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, len(b) < 180, qt.IsTrue, qt.Commentf("%d bytes", len(b)))
}

// Guards against a client's retry that is taken for another job since the row was written
// by a host of the release before.
func TestRowOfTheReleaseBeforeIsTheSameJob(t *testing.T) {
	withWriter(t, func(ctx context.Context, c *qt.C, s *cellfake.Store, w *jobstore.Writer) {
		j := typicalJob()
		b, err := msgpack.Marshal(&j)
		c.Assert(err, qt.IsNil)
		row, err := jobstore.JobRow(w.Partition, j)
		c.Assert(err, qt.IsNil)
		s.Put(store.Put{
			Key:   row.Key,
			Value: b,
		})
		o, err := w.Accept(ctx, j)
		c.Assert(err, qt.IsNil)
		c.Assert(o, qt.Equals, jobstore.Duplicate)
		j.Spec = "y"
		o, _ = w.Accept(ctx, j)
		c.Assert(o, qt.Equals, jobstore.Conflict)
	})
}
