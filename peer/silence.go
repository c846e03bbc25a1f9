package peer

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"
)

// silentMost is how long a connection may bring nothing while calls on it are
// waited for, before it is given up. One that has gone silent without an end
// would else be called on for good. Hosts answer in milliseconds; one that is
// paused, or whose line is full, may need some hundred.
const silentMost = time.Second

// errSilent is reported of a connection that is given up for its silence.
var errSilent = errors.New("peer: connection is silent")

// waitsBriefly reports whether a call is waited for so briefly that it is one that
// is answered in milliseconds. Of others, that no answer came says nothing: their
// handlers may still be at work.
func waitsBriefly(ctx context.Context) bool {
	end, limited := ctx.Deadline()
	return limited && time.Until(end) <= silentMost
}

// A silence tells for how long calls on a connection have been waited for in vain,
// without a byte from the other side. It is safe for concurrent use.
type silence struct {
	mu    sync.Mutex
	heard time.Time // when something came last
	since time.Time // when the first call in vain was written; void if before heard
}

func (s *silence) hear(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard = now
}

// inVain takes in a call that was given up, and reports whether the silence has
// lasted for too long.
func (s *silence) inVain(written, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.heard.Before(written) {
		return false
	}
	if !s.heard.Before(s.since) || written.Before(s.since) {
		s.since = written
	}
	return now.Sub(s.since) >= silentMost
}

// A listeningReader tells a silence of what comes.
type listeningReader struct {
	from    io.Reader
	silence *silence
}

// Read implements io.Reader.
func (r *listeningReader) Read(b []byte) (int, error) {
	n, err := r.from.Read(b)
	if n > 0 {
		r.silence.hear(time.Now())
	}
	return n, err
}
