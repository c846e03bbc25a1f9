package leader

import (
	"context"
	"errors"
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

// sendStart sends a start order, and retries it unchanged while it is unanswered. Orders are
// idempotent, but only within an incarnation of a worker: the next one does not know of the run.
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
		send := h.startOnce
		if a.Doubt {
			send = h.retryStart
		}
		tries++
		r, deadline := send(ctx, o, partition, timeout)
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

// retryStart sends a start order of which an earlier try was not answered, once the incarnation
// that it is for has responded without listing the run. That try may have been carried out by an
// incarnation that has crashed since. The next one may have received no call yet: it would reject
// the retry neither by its fence nor by its clock, and would start the run again.
func (h *renewer) retryStart(ctx context.Context, o sched.StartOrder, partition string, timeout time.Duration) (Reply, sched.ClockMillis) {
	r, listed := h.findRun(ctx, o.Run, timeout)
	if r.Kind != Accepted || listed {
		return r, 0
	}
	return h.startOnce(ctx, o, partition, timeout)
}

// findRun asks the worker for its runs, and reports whether r is among them or has been listed
// before. The reply is Accepted only if the incarnation that is renewed has responded with all its
// runs. The call renews and acknowledges nothing.
func (h *renewer) findRun(ctx context.Context, r sched.RunID, timeout time.Duration) (Reply, bool) {
	if h.leader.suspended() {
		return unsentReply(), false
	}
	b, p := h.leader.config.Workers.Renew(ctx, Renewal{
		Target:  h.target,
		Fence:   h.fence,
		Timeout: timeout,
	})
	if p.Kind != Accepted {
		return p, false
	}
	b.Asked = h.target.WorkerIncarnation
	if !h.recordIncarnation(b) {
		h.leader.send(heartbeatReceived{
			heartbeat: b,
		})
		return Reply{
			Kind: OtherIncarnation,
			Err:  errOtherIncarnation,
		}, false
	}
	h.setClock(p.Clock, h.leader.config.Clock.Now())
	h.markListed(b)
	listed := h.isListed(r)
	if b.Partial && !listed {
		return Reply{
			Kind: NoAnswer,
			Err:  errPartialList,
		}, false
	}
	return p, listed
}

var (
	errOtherIncarnation = errors.New("leader: the worker has restarted")
	errPartialList      = errors.New("leader: the worker has not listed all of its runs")
)

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
