package leader

import (
	"context"
	"time"

	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/sched"
)

const (
	// startWindow is how long after it is sent a start may still be carried
	// out: as long as its tries take, and a little.
	startWindow = 1500 * time.Millisecond
	// startTries is how often a start is sent at most, within startTime; each try is
	// waited for twice as long as the one before, up to orderMost.
	startTries = 5
	startTime  = 1350 * time.Millisecond
	// stopTimeout and stopTries are the same for stops.
	stopTimeout = 300 * time.Millisecond
	stopTries   = 4
	orderPause  = 20 * time.Millisecond
	// startLease is when the latest try of a start has lost its force.
	startLease = startTime + startWindow
)

// sendStart sends a start order, and again to the letter when it is not
// answered: a run that is there already is not started twice.
func (l *Leader) sendStart(o sched.StartOrder) {
	h := l.renewers[o.Life]
	if h == nil {
		l.state.StartAnswered(l.config.Clock.Now(), sched.StartAnswer{
			Life:    o.Life,
			Run:     o.Run,
			Outcome: sched.StartRejected,
		})
		return
	}
	ctx := l.ctx
	keeper := l.sweeper.keeper(o.Run.Task.Stage.Job)
	l.spawn(func() {
		a := h.start(ctx, o, keeper)
		l.send(startAnswered{
			answer: a,
		})
	})
}

func (h *renewer) start(ctx context.Context, o sched.StartOrder, keeper string) sched.StartAnswer {
	a := sched.StartAnswer{
		Life:    o.Life,
		Run:     o.Run,
		Outcome: sched.StartUnknown,
	}
	h.beginStart(o.Run)
	defer h.endStart(o.Run)
	timeout := h.leader.answers.order()
	end := h.leader.config.Clock.Now().Add(startTime)
	for try := range startTries {
		if try > 0 {
			pause.For(ctx, orderPause)
			timeout = min(2*timeout, orderMost, end.Sub(h.leader.config.Clock.Now()))
		}
		if h.isHeardOf(o.Run) {
			// Another try could only do harm, at a life that knows of no such run.
			a.Outcome = sched.StartTaken
			return a
		}
		if timeout <= 0 || h.isOver() {
			break
		}
		begun := h.leader.config.Clock.Now()
		r, deadline := h.startOnce(ctx, o, keeper, timeout)
		switch r.Kind {
		case NoAnswer:
			a.Doubt = true
			a.Deadline = max(a.Deadline, deadline)
			h.reportSilence(begun)
			continue
		case Unreachable, ConnectionRefused:
			continue
		case Fenced:
			h.fenced()
		}
		a.Outcome = startOutcome(r.Kind)
		return a
	}
	if !a.Doubt {
		a.Outcome = sched.StartUnhealthy
	}
	return a
}

// reportSilence tells that an order has had no answer, unless the worker has
// answered another one since: then only this answer got lost.
func (h *renewer) reportSilence(since time.Time) {
	if _, _, at := h.read(); at.Before(since) {
		h.leader.send(workerSilent{
			life: h.target.Life,
		})
	}
}

func (h *renewer) startOnce(ctx context.Context, o sched.StartOrder, keeper string, timeout time.Duration) (Reply, sched.ClockMillis) {
	deadline := h.workerTime(h.leader.config.Clock.Now()) + sched.ClockMillis(startWindow.Milliseconds())
	if h.leader.suspended() {
		return unsent(), deadline
	}
	r := h.leader.config.Workers.Start(ctx, Start{
		Target:   h.target,
		Fence:    h.fence,
		Deadline: deadline,
		Order:    o,
		Keeper:   keeper,
		Within:   timeout,
	})
	h.setClock(r.Clock, h.leader.config.Clock.Now())
	return r, deadline
}

func startOutcome(k ReplyKind) sched.StartOutcome {
	switch k {
	case Accepted:
		return sched.StartTaken
	case NoRoom:
		return sched.StartNoRoom
	case NoTicket:
		return sched.StartNoTicket
	case Unhealthy:
		return sched.StartUnhealthy
	case OtherLife:
		return sched.StartOtherLife
	default:
		return sched.StartRejected
	}
}

// sendStop sends a stop order until it is answered, for as long as its tries
// last. Whatever becomes of it is reported.
func (l *Leader) sendStop(ctx context.Context, o sched.StopOrder) {
	h := l.renewers[o.Life]
	if h == nil {
		l.state.StopAnswered(l.config.Clock.Now(), sched.StopAnswer{
			Order:  o,
			Reason: "the worker is not in touch",
		})
		return
	}
	l.spawn(func() {
		a := h.stop(ctx, o)
		l.send(stopAnswered{
			answer: a,
		})
	})
}

func (h *renewer) stop(ctx context.Context, o sched.StopOrder) sched.StopAnswer {
	a := sched.StopAnswer{
		Order: o,
	}
	for try := range stopTries {
		if try > 0 {
			pause.For(ctx, orderPause)
		}
		if h.isOver() {
			break
		}
		r := h.stopOnce(ctx, o)
		switch r.Kind {
		case Accepted:
			a.Taken = true
			return a
		case NoAnswer, Unreachable, ConnectionRefused, Unhealthy:
			a.Reason = r.Kind.String()
		default:
			a.Reason = r.Kind.String()
			return a
		}
	}
	return a
}

func (h *renewer) stopOnce(ctx context.Context, o sched.StopOrder) Reply {
	if h.leader.suspended() {
		return unsent()
	}
	r := h.leader.config.Workers.Stop(ctx, Stop{
		Target: h.target,
		Fence:  h.fence,
		Run:    o.Run,
		Within: stopTimeout,
	})
	h.setClock(r.Clock, h.leader.config.Clock.Now())
	return r
}
