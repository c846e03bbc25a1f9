package leader

import (
	"context"
	"errors"
	"time"
)

const (
	// probeEvery is how often the loop measures how late it is.
	probeEvery = 100 * time.Millisecond
	// lateMost is how late the loop may be, on average over about a second,
	// before another host should lead: a quarter of the time in which the
	// most urgent work of today has to be done.
	lateMost = 300 * time.Millisecond
	// lateAfter is how long after a take-over it is not looked at: loading
	// and the first look at all workers take their time.
	lateAfter = 3 * time.Second
)

// ErrOverloaded is returned by a leader that gave up because its host could not
// keep up.
var ErrOverloaded = errors.New("leader: this host can't keep up")

// probe sends the loop an event now and then, which tells how late the loop is.
func (l *Leader) probe(ctx context.Context) {
	t := time.NewTicker(probeEvery)
	defer t.Stop()
	for {
		select {
		case at := <-t.C:
			l.send(probeSent{
				at: l.config.Clock.Now().Add(-time.Since(at)), //nolint:forbidigo // a ticker's time
			})
		case <-ctx.Done():
			return
		}
	}
}

// takeProbe gives the leadership up when the loop has been late for a while.
func (l *Leader) takeProbe(now, sent time.Time) error {
	l.late += (now.Sub(sent) - l.late) / 8
	if l.late < lateMost || now.Sub(l.config.Sched.TakenOver) < lateAfter {
		return nil
	}
	l.config.Log.WithField("late_ms", l.late.Milliseconds()).Warn("leader can't keep up")
	return ErrOverloaded
}
