package jobstore_test

import (
	"context"
	"fmt"
	"strings"
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

// withWriter runs f in virtual time with a writer to a store in memory.
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

func TestAcceptSameJobTwice(t *testing.T) {
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

// A write whose response is lost or late is repeated, and the job is stored once.
func TestAcceptLostResponse(t *testing.T) {
	for _, f := range []cellfake.StoreFault{cellfake.StoreLoseReply, cellfake.StoreLate} {
		withWriter(t, func(ctx context.Context, c *qt.C, s *cellfake.Store, w *jobstore.Writer) {
			var calls atomic.Int32
			s.SetFault(func(store.Transaction) cellfake.StoreFault {
				if calls.Add(1) == 1 {
					return f
				}
				return cellfake.StoreOK
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

// Jobs that arrive during a write share the next write.
func TestAcceptBatchesJobs(t *testing.T) {
	withWriter(t, func(ctx context.Context, c *qt.C, s *cellfake.Store, w *jobstore.Writer) {
		var writes atomic.Int32
		s.SetFault(func(store.Transaction) cellfake.StoreFault {
			writes.Add(1)
			return cellfake.StoreOK
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

// The outcome is Refused only if nothing was written, and Unknown if the context ends
// without a response from the store.
func TestAcceptRefusedAndUnknown(t *testing.T) {
	withWriter(t, func(ctx context.Context, c *qt.C, s *cellfake.Store, w *jobstore.Writer) {
		s.SetUnavailable(true)
		o, _ := w.Accept(ctx, job("j", "s"))
		c.Assert(o, qt.Equals, jobstore.Refused)
		s.SetUnavailable(false)
		s.SetFault(func(store.Transaction) cellfake.StoreFault { return cellfake.StoreLoseReply })
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		o, _ = w.Accept(short, job("j", "s"))
		c.Assert(o, qt.Equals, jobstore.Unknown)
	})
}

// Guards against retries without delay while the store closes all connections. All hosts
// retry at the same time, and each call adds to the store's load.
func TestBackoffAfterClosedConnections(t *testing.T) {
	withWriter(t, func(ctx context.Context, c *qt.C, s *cellfake.Store, w *jobstore.Writer) {
		var writes atomic.Int32
		s.SetFault(func(store.Transaction) cellfake.StoreFault {
			writes.Add(1)
			return cellfake.StoreReset
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

func TestReadState(t *testing.T) {
	withWriter(t, func(ctx context.Context, c *qt.C, s *cellfake.Store, w *jobstore.Writer) {
		_, known, err := jobstore.ReadState(ctx, s, "j")
		c.Assert(err, qt.IsNil)
		c.Assert(known, qt.IsFalse)
		_, err = w.Accept(ctx, job("j", "s"))
		c.Assert(err, qt.IsNil)
		st, known, err := jobstore.ReadState(ctx, s, "j")
		c.Assert(err, qt.IsNil)
		c.Assert(known, qt.IsTrue)
		c.Assert(st.State, qt.Equals, sched.Pending)
		c.Assert(jobstore.Cancel(ctx, s, "another host", "j"), qt.IsNil)
		st, _, err = jobstore.ReadState(ctx, s, "j")
		c.Assert(err, qt.IsNil)
		c.Assert(st.State, qt.Equals, sched.Cancelled)
	})
}

// Guards against Conflict for a client's retry of the same job during an upgrade: hosts of
// releases without teams store jobs without a team, and forward jobs without the team that
// another host has determined from the key.
func TestAcceptSameJobOfReleaseWithoutTeams(t *testing.T) {
	for _, tt := range []struct {
		name                string
		stored, resubmitted spoolsill.TeamID
		want                jobstore.Outcome
	}{
		{"the same team", "a", "a", jobstore.Duplicate},
		{"stored by a host of a release without teams", "", "a", jobstore.Duplicate},
		{"forwarded by a host of a release without teams", "a", "", jobstore.Duplicate},
		{"another team", "a", "b", jobstore.Conflict},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withWriter(t, func(ctx context.Context, c *qt.C, _ *cellfake.Store, w *jobstore.Writer) {
				j := job("j", "s")
				j.Team = tt.stored
				o, _ := w.Accept(ctx, j)
				c.Assert(o, qt.Equals, jobstore.Accepted)
				pause.For(ctx, time.Second)
				j = job("j", "s")
				j.Team = tt.resubmitted
				o, _ = w.Accept(ctx, j)
				c.Assert(o, qt.Equals, tt.want)
			})
		})
	}
}

// ReadState returns a job's team before and after the job has progress.
func TestReadStateTeam(t *testing.T) {
	withWriter(t, func(ctx context.Context, c *qt.C, s *cellfake.Store, w *jobstore.Writer) {
		j := job("j", "s")
		j.Team = "a"
		_, err := w.Accept(ctx, j)
		c.Assert(err, qt.IsNil)
		st, _, err := jobstore.ReadState(ctx, s, "j")
		c.Assert(err, qt.IsNil)
		c.Check(st.Team, qt.Equals, spoolsill.TeamID("a"))
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
		st, _, err = jobstore.ReadState(ctx, s, "k")
		c.Assert(err, qt.IsNil)
		c.Check(st.Team, qt.Equals, spoolsill.TeamID("a"))
		c.Check(st.State, qt.Equals, sched.Completed)
	})
}

// typicalJob returns a job with a short spec, like most jobs that clients submit.
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

// Guards against rows that consist mostly of the names of fields with zero values. A new
// leader reads the rows of all jobs over its link, and later those of each new job.
func TestEncodeJobSize(t *testing.T) {
	b, err := jobstore.EncodeJob(typicalJob())
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, len(b) < 180, qt.IsTrue, qt.Commentf("%d bytes", len(b)))
}

// Guards against Conflict for a client's retry of the same job whose row was encoded by a
// host of the previous release.
func TestAcceptJobEncodedByPreviousRelease(t *testing.T) {
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

// A job that still waits behind a write without a response when its caller gives up is never
// written, and its caller learns that.
func TestJobThatWasNotSentIsRefused(t *testing.T) {
	withWriter(t, func(ctx context.Context, c *qt.C, s *cellfake.Store, w *jobstore.Writer) {
		s.SetFault(func(store.Transaction) cellfake.StoreFault { return cellfake.StoreLoseReply })
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		outcomes := make(chan jobstore.Outcome, 1)
		go func() {
			o, _ := w.Accept(short, job("sent", "s"))
			outcomes <- o
		}()
		pause.For(ctx, 10*time.Millisecond)
		o, err := w.Accept(short, job("waiting", "s"))
		c.Check(o, qt.Equals, jobstore.Refused)
		c.Check(err, qt.ErrorIs, context.DeadlineExceeded)
		c.Check(<-outcomes, qt.Equals, jobstore.Unknown)
		s.SetFault(func(store.Transaction) cellfake.StoreFault { return cellfake.StoreOK })
		pause.For(ctx, 10*time.Second)
		p, err := s.List(ctx, jobstore.JobsTable, "host", "", 0)
		c.Assert(err, qt.IsNil)
		c.Check(p.Rows, qt.HasLen, 1)
	})
}

// Guards against a job that the store rejects for good failing the jobs that are written with it.
func TestJobThatStoreRejectsFailsNoOther(t *testing.T) {
	withWriter(t, func(ctx context.Context, c *qt.C, s *cellfake.Store, w *jobstore.Writer) {
		s.SetMaxRowBytes(1000)
		var calls sync.WaitGroup
		for i := range 20 {
			calls.Go(func() {
				spec, want := "s", jobstore.Accepted
				if i%7 == 3 {
					spec, want = strings.Repeat("s", 2000), jobstore.TooLarge
				}
				o, _ := w.Accept(ctx, job(fmt.Sprint("j", i), spec))
				c.Check(o, qt.Equals, want, qt.Commentf("job %d", i))
			})
		}
		calls.Wait()
	})
}
