package leader_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/cellfake"
	"github.com/spoolsill/spoolsill/internal/clock"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/leader"
	"github.com/spoolsill/spoolsill/sched"
)

// callTimes wraps workers and records when each fence was last used.
type callTimes struct {
	*cellfake.Workers

	mu   sync.Mutex
	last map[spoolsill.Epoch]time.Time
}

func (w *callTimes) recordCall(e spoolsill.Epoch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last[e] = time.Now()
}

// lastCall returns when the leadership of an epoch last made a call, with any of its fences.
func (w *callTimes) lastCall(e spoolsill.Epoch) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	var last time.Time
	for f, at := range w.last {
		if f <= e && f+leader.FencesPerEpoch > e && at.After(last) {
			last = at
		}
	}
	return last
}

func (w *callTimes) Renew(ctx context.Context, r leader.Renewal) (sched.Heartbeat, leader.Reply) {
	w.recordCall(r.Fence)
	return w.Workers.Renew(ctx, r)
}

func (w *callTimes) Start(ctx context.Context, s leader.Start) leader.Reply {
	w.recordCall(s.Fence)
	return w.Workers.Start(ctx, s)
}

func (w *callTimes) Stop(ctx context.Context, s leader.Stop) leader.Reply {
	w.recordCall(s.Fence)
	return w.Workers.Stop(ctx, s)
}

// A leader's machine is suspended at various moments of its work, for 30 ms and right after that
// for 5 s, and its monotonic clock does not count that time. After it resumes, it sends nothing
// more in its epoch and returns [leader.ErrSuspended]. The next leader completes the work, and
// nothing runs twice.
func TestLeaderSendsNothingAfterSuspension(t *testing.T) {
	for _, ms := range []int{0, 3, 7, 12, 19, 31, 140, 290} {
		after := time.Duration(ms) * time.Millisecond
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var suspended atomic.Int64
				x := newCell(t.Context(), t, 4)
				defer x.end()
				w := &callTimes{
					Workers: x.workers,
					last:    map[spoolsill.Epoch]time.Time{},
				}
				x.workersOverride = w
				logs := &test.Hook{}
				x.logs = logs
				x.clock = &clock.Clock{
					Suspended: func() time.Duration { return time.Duration(suspended.Load()) },
				}
				a := x.lead("a")
				pause.For(x.ctx, time.Second)
				ids := x.submitMixed(12)
				pause.For(x.ctx, 200*time.Millisecond+after)
				suspended.Add(int64(30 * time.Millisecond))
				suspended.Add(int64(5 * time.Second))
				resumed := time.Now()
				lastWrite := a.LastWriteTime()
				x.c.Check(x.clock.Since(lastWrite) >= 5*time.Second, qt.IsTrue)
				pause.For(x.ctx, time.Second)
				x.c.Check(w.lastCall(a.Epoch()).After(resumed), qt.IsFalse)
				endErr, _ := x.endErrors.Load(a.Epoch())
				x.c.Check(endErr, qt.Equals, leader.ErrSuspended)
				x.clock = nil
				b := x.lead("b")
				pause.For(x.ctx, 30*time.Second)
				x.assertCompleted(b, ids)
				x.c.Check(x.workers.Violations(), qt.HasLen, 0)
			})
		})
	}
}

// A leader whose machine was suspended for an hour before it took over works normally, with a clock
// that is ahead of the time of day and of its timers.
func TestLeaderWorksWithClockAheadOfTimeOfDay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t.Context(), t, 4)
		defer x.end()
		x.clock = &clock.Clock{
			Suspended: func() time.Duration { return time.Hour },
		}
		x.workers.Clock = x.clock
		l := x.lead("a")
		for range 3 {
			pause.For(x.ctx, 5*time.Second)
			ids := x.submitMixed(12)
			pause.For(x.ctx, 15*time.Second)
			x.assertCompleted(l, ids)
		}
		x.c.Check(x.workers.Violations(), qt.HasLen, 0)
	})
}
