package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/spoolsill/spoolsill/internal/pause"
)

// A Fault is how a stand-in misbehaves. It is safe for concurrent use; the
// zero value behaves.
type Fault struct {
	mu    sync.Mutex
	down  bool
	slow  time.Duration
	lose  int // answers to lose after the effect
	pause chan struct{}
}

// SetDown makes the stand-in refuse everything, without effect.
func (f *Fault) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// SetSlow delays every answer.
func (f *Fault) SetSlow(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slow = d
}

// LoseAnswers makes the next n calls take effect without an answer.
func (f *Fault) LoseAnswers(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lose = n
}

// Pause holds up all calls until the returned function is called.
func (f *Fault) Pause() (resume func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := make(chan struct{})
	f.pause = c
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.pause == c {
			f.pause = nil
			close(c)
		}
	}
}

// wrap puts the faults in front of a handler.
func (f *Fault) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		down, lose := f.enter(r.Context())
		if down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if !lose {
			next.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(&discard{
			header: http.Header{},
		}, r)
		panic(http.ErrAbortHandler)
	})
}

func (f *Fault) enter(ctx context.Context) (down, lose bool) {
	f.mu.Lock()
	held, slow := f.pause, f.slow
	f.mu.Unlock()
	if held != nil {
		select {
		case <-held:
		case <-ctx.Done():
		}
	}
	if slow > 0 {
		pause.For(ctx, slow)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lose > 0 && !f.down {
		f.lose--
		return false, true
	}
	return f.down, false
}

// A discard takes an answer that is lost.
type discard struct {
	header http.Header
}

// Header implements http.ResponseWriter.
func (d *discard) Header() http.Header {
	return d.header
}

// Write implements http.ResponseWriter.
func (d *discard) Write(b []byte) (int, error) {
	return len(b), nil
}

// WriteHeader implements http.ResponseWriter.
func (d *discard) WriteHeader(int) {}
