package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/spoolsill/spoolsill/internal/pause"
)

// A Fault injects faults into a fake server. The zero value injects none. It
// is safe for concurrent use.
type Fault struct {
	mu         sync.Mutex
	down       bool
	delay      time.Duration
	unanswered int // calls still to be handled without an answer
	pause      chan struct{}
}

// SetDown makes the server answer every call with status 503, without handling
// it.
func (f *Fault) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// SetDelay delays the handling of every call by d.
func (f *Fault) SetDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// DropAnswers makes the server handle the next n calls but abort their
// connections in place of an answer.
func (f *Fault) DropAnswers(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unanswered = n
}

// Pause blocks all calls until the returned function is called.
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

// wrap returns a handler that applies the faults before it calls next.
func (f *Fault) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		down, lose := f.apply(r.Context())
		if down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if !lose {
			next.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(&discardWriter{
			header: http.Header{},
		}, r)
		panic(http.ErrAbortHandler)
	})
}

func (f *Fault) apply(ctx context.Context) (down, lose bool) {
	f.mu.Lock()
	held, slow := f.pause, f.delay
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
	if f.unanswered > 0 && !f.down {
		f.unanswered--
		return false, true
	}
	return f.down, false
}

// A discardWriter is an http.ResponseWriter that drops the answer.
type discardWriter struct {
	header http.Header
}

// Header implements http.ResponseWriter.
func (d *discardWriter) Header() http.Header {
	return d.header
}

// Write implements http.ResponseWriter.
func (d *discardWriter) Write(b []byte) (int, error) {
	return len(b), nil
}

// WriteHeader implements http.ResponseWriter.
func (d *discardWriter) WriteHeader(int) {}
