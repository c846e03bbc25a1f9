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
	mu              sync.Mutex
	down            bool
	delay           time.Duration
	responsesToDrop int // number of calls left to handle without a response
	pause           chan struct{}
}

// SetDown makes the server reject every call with status 503.
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

// DropResponses makes the server handle the next n calls but abort their
// connections instead of sending the responses.
func (f *Fault) DropResponses(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.responsesToDrop = n
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

// wrap returns a handler that applies the injected faults to calls of next.
func (f *Fault) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		down, dropResponse := f.apply(r.Context())
		if down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if !dropResponse {
			next.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(&discardWriter{
			header: http.Header{},
		}, r)
		panic(http.ErrAbortHandler)
	})
}

// apply waits out a pause and the delay, and reports whether to reject the call
// or to drop its response.
func (f *Fault) apply(ctx context.Context) (down, dropResponse bool) {
	f.mu.Lock()
	resumed, wait := f.pause, f.delay
	f.mu.Unlock()
	if resumed != nil {
		select {
		case <-resumed:
		case <-ctx.Done():
		}
	}
	if wait > 0 {
		pause.For(ctx, wait)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.responsesToDrop > 0 && !f.down {
		f.responsesToDrop--
		return false, true
	}
	return f.down, false
}

// A discardWriter is an http.ResponseWriter that discards the response.
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
