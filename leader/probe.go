package leader

import (
	"context"
	"errors"
	"time"
)

const (
	// probeInterval is how often the lag of the event loop is measured.
	probeInterval = 100 * time.Millisecond
	// maxLag is the average lag, over about a second, above which the leader releases the
	// leadership: a quarter of the time within which the most urgent work has to be done.
	maxLag = 300 * time.Millisecond
	// lagGracePeriod is how long after a takeover the lag is ignored: loading the jobs and
	// the first exchange with all workers take time.
	lagGracePeriod = 3 * time.Second
)

// ErrOverloaded is returned by a leader that released the leadership because its host
// could not keep up.
var ErrOverloaded = errors.New("leader: this host can't keep up")

// probe sends events at intervals, by which the event loop measures its lag.
func (l *Leader) probe(ctx context.Context) {
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		select {
		case at := <-t.C:
			l.send(probeSent{
				at: l.config.Clock.Now().Add(-time.Since(at)), //nolint:forbidigo // time of a ticker
			})
		case <-ctx.Done():
			return
		}
	}
}

// handleProbe ends the leadership when the average lag is too high.
func (l *Leader) handleProbe(now, sent time.Time) error {
	l.lag += (now.Sub(sent) - l.lag) / 8
	if l.lag < maxLag || now.Sub(l.config.Sched.TakenOver) < lagGracePeriod {
		return nil
	}
	l.config.Log.WithField("late_ms", l.lag.Milliseconds()).Warn("leader can't keep up")
	return ErrOverloaded
}
