package leader

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/sched"
)

const (
	// startWindow is the maximum time from sending a start order to carrying it out:
	// slightly longer than all its tries take.
	startWindow = 1500 * time.Millisecond
	// maxStartTries is the maximum number of tries of a start order, all of them within
	// startTimeout. The timeout doubles with each try, up to maxOrderTimeout.
	maxStartTries = 5
	startTimeout  = 1350 * time.Millisecond
	// stopTimeout is the timeout of one try of a stop order.
	stopTimeout     = 300 * time.Millisecond
	maxStopTries    = 4
	orderRetryDelay = 20 * time.Millisecond
	// startLease is the time until the last try of a start order can no longer be carried out.
	startLease = startTimeout + startWindow
)

// sendStart sends a start order, and retries it unchanged while it is unanswered: orders are
// idempotent, and a run that exists is not started twice.
func (l *Leader) sendStart(o sched.StartOrder) {
	h := l.renewers[o.WorkerIncarnation]
	if h == nil {
		l.state.StartAnswered(l.config.Clock.Now(), sched.StartAnswer{
			WorkerIncarnation: o.WorkerIncarnation,
			Run:               o.Run,
			Outcome:           sched.StartRejected,
		})
		return
	}
	ctx := l.ctx
	partition := l.sweeper.partitionOf(o.Run.Task.Stage.Job)
	l.spawn(func() {
		a := h.start(ctx, o, partition)
		l.send(startAnswered{
			answer: a,
		})
	})
}

func (h *renewer) start(ctx context.Context, o sched.StartOrder, partition string) (a sched.StartAnswer) {
	a = sched.StartAnswer{
		WorkerIncarnation: o.WorkerIncarnation,
		Run:               o.Run,
		Outcome:           sched.StartUnknown,
	}
	tries := 0
	h.beginStart(o.Run)
	defer h.endStart(o.Run)
	defer func(begun time.Time) { h.logRetries(a, tries, begun) }(h.leader.config.Clock.Now())
	timeout := h.leader.responses.orderTimeout()
	end := h.leader.config.Clock.Now().Add(startTimeout)
	for try := range maxStartTries {
		if try > 0 {
			pause.For(ctx, orderRetryDelay)
			timeout = min(2*timeout, maxOrderTimeout, end.Sub(h.leader.config.Clock.Now()))
		}
		if h.isListed(o.Run) {
			// The order was carried out. A retry could reach a later incarnation, which
			// does not know of the run and would start it again.
			a.Outcome = sched.StartAccepted
			return a
		}
		if timeout <= 0 || h.isDone() {
			break
		}
		begun := h.leader.config.Clock.Now()
		tries++
		r, deadline := h.startOnce(ctx, o, partition, timeout)
		switch r.Kind {
		case NoAnswer:
			a.Doubt = true
			a.Deadline = max(a.Deadline, deadline)
			h.reportNoResponse(begun)
			continue
		case Unreachable, ConnectionRefused:
			continue
		case Fenced:
			h.handleFenced()
		}
		a.Outcome = startOutcome(r.Kind)
		return a
	}
	if !a.Doubt {
		a.Outcome = sched.StartUnhealthy
	}
	return a
}

// logRetries logs the outcome of a start order that was sent more than once, with the incarnation
// that it was for.
func (h *renewer) logRetries(a sched.StartAnswer, tries int, begun time.Time) {
	if tries < 2 {
		return
	}
	h.leader.config.Log.WithFields(logrus.Fields{
		"epoch":       uint64(h.leader.Epoch()),
		"worker":      string(h.target.Worker),
		"incarnation": int64(h.target.StartTime),
		"task":        a.Run.Task.String(),
		"run":         uint32(a.Run.Number),
		"tries":       tries,
		"doubt":       a.Doubt,
		"reason":      a.Outcome.String(),
		"took_ms":     h.leader.config.Clock.Since(begun).Milliseconds(),
	}).Info("start order was retried")
}

// reportNoResponse reports an unanswered order to the event loop, unless the worker has responded
// to another call since: then only this response was lost.
func (h *renewer) reportNoResponse(since time.Time) {
	if _, _, at := h.read(); at.Before(since) {
		h.leader.send(workerUnresponsive{
			incarnation: h.target.WorkerIncarnation,
		})
	}
}

func (h *renewer) startOnce(ctx context.Context, o sched.StartOrder, partition string, timeout time.Duration) (Reply, sched.ClockMillis) {
	deadline := h.workerTime(h.leader.config.Clock.Now()) + sched.ClockMillis(startWindow.Milliseconds())
	if h.leader.suspended() {
		return unsentReply(), deadline
	}
	r := h.leader.config.Workers.Start(ctx, Start{
		Target:   h.target,
		Fence:    h.fence,
		Deadline: deadline,
		Order:    o,
		Keeper:   partition,
		Timeout:  timeout,
	})
	h.setClock(r.Clock, h.leader.config.Clock.Now())
	return r, deadline
}

func startOutcome(k ReplyKind) sched.StartOutcome {
	switch k {
	case Accepted:
		return sched.StartAccepted
	case NoCapacity:
		return sched.StartNoCapacity
	case NoTicket:
		return sched.StartNoTicket
	case Unhealthy:
		return sched.StartUnhealthy
	case OtherIncarnation:
		return sched.StartOtherIncarnation
	default:
		return sched.StartRejected
	}
}

// sendStop sends a stop order, and retries it while it is unanswered and tries are left. It
// always reports the outcome to the event loop.
func (l *Leader) sendStop(ctx context.Context, o sched.StopOrder) {
	h := l.renewers[o.WorkerIncarnation]
	if h == nil {
		l.state.StopAnswered(l.config.Clock.Now(), sched.StopAnswer{
			Order:  o,
			Reason: "worker is not tracked by this leader",
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
	for try := range maxStopTries {
		if try > 0 {
			pause.For(ctx, orderRetryDelay)
		}
		if h.isDone() {
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
		return unsentReply()
	}
	r := h.leader.config.Workers.Stop(ctx, Stop{
		Target:  h.target,
		Fence:   h.fence,
		Run:     o.Run,
		Timeout: stopTimeout,
	})
	h.setClock(r.Clock, h.leader.config.Clock.Now())
	return r
}
