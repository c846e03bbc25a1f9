package peer

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"
)

// silenceTimeout is how long a connection may receive nothing while calls on it time out
// before it is dropped. Without it, a connection that died without being closed would be
// used indefinitely. Hosts answer within milliseconds; a paused host or a congested network
// may add some hundred milliseconds.
const silenceTimeout = time.Second

// errSilent is reported for a connection that is dropped because of silenceTimeout.
var errSilent = errors.New("peer: connection is silent")

// hasShortTimeout reports whether a call's timeout is at most silenceTimeout. Callers set
// such a timeout only for calls that a healthy host answers within milliseconds. That a call
// with a longer timeout expires says nothing about the connection, since its handler may
// still be running.
func hasShortTimeout(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ok && time.Until(deadline) <= silenceTimeout
}

// A silenceDetector tracks how long calls on a connection have timed out without any data from
// the remote side. It is safe for concurrent use.
type silenceDetector struct {
	mu           sync.Mutex
	lastReceived time.Time // when data last arrived
	// timeoutsSince is when the first call that has timed out since lastReceived was
	// written. It is valid only if it is after lastReceived.
	timeoutsSince time.Time
}

func (s *silenceDetector) dataReceived(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastReceived = now
}

// callTimedOut records that a call written at the given time timed out. It reports whether
// silenceTimeout has passed since the first call was written that timed out without any data
// received since.
func (s *silenceDetector) callTimedOut(written, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lastReceived.Before(written) {
		return false
	}
	if !s.lastReceived.Before(s.timeoutsSince) || written.Before(s.timeoutsSince) {
		s.timeoutsSince = written
	}
	return now.Sub(s.timeoutsSince) >= silenceTimeout
}

// A silenceReader records in a silenceDetector when data arrives.
type silenceReader struct {
	from    io.Reader
	silence *silenceDetector
}

// Read implements io.Reader.
func (r *silenceReader) Read(b []byte) (int, error) {
	n, err := r.from.Read(b)
	if n > 0 {
		r.silence.dataReceived(time.Now())
	}
	return n, err
}
