package standin

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/upstream"
)

// A RunnerConfig describes a [Runner].
type RunnerConfig struct {
	Runner spoolsill.Runner
	Truth  *Truth
	Slots  int
	// Work returns the duration of a request; nil means 0.
	Work func(spoolsill.RequestKey) time.Duration
}

// A Runner is a fake runner. It completes a request that it has started even if
// the connection is closed. It is safe for concurrent use.
type Runner struct {
	Fault  Fault
	config RunnerConfig

	inFlight    atomic.Int64
	maxInFlight atomic.Int64
	received    atomic.Int64

	mu           sync.Mutex
	failAll      bool
	leavingSince time.Time
}

// NewRunner returns a runner.
func NewRunner(c RunnerConfig) *Runner {
	return &Runner{
		config: c,
	}
}

// FailAll sets whether every request fails immediately with status 500.
func (r *Runner) FailAll(fail bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failAll = fail
}

// LeavingGrace is how long a leaving runner may still receive new requests
// without a violation of [InvariantLeaving].
const LeavingGrace = 3 * time.Second

// SetLeaving makes the runner announce in its responses that it is leaving.
func (r *Runner) SetLeaving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leavingSince = time.Now()
}

// RequestsReceived returns how many requests the runner has received.
func (r *Runner) RequestsReceived() int64 {
	return r.received.Load()
}

// MaxInFlight returns the largest number of requests in flight at once.
func (r *Runner) MaxInFlight() int64 {
	return r.maxInFlight.Load()
}

// Handler returns the HTTP API of the runner.
func (r *Runner) Handler() http.Handler {
	return r.Fault.wrap(http.HandlerFunc(r.serve))
}

func (r *Runner) serve(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	k := spoolsill.RequestKey(q.Header.Get(upstream.HeaderKey))
	n := r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	r.received.Add(1)
	r.recordInFlight(n)
	r.config.Truth.RequestStarted(k)
	if r.isLeaving() {
		w.Header().Set(upstream.HeaderLeaving, "true")
	}
	if r.shouldFail() {
		http.Error(w, "runner fails", http.StatusInternalServerError)
		return
	}
	if r.config.Work != nil {
		// The work continues even if the caller disconnects.
		pause.For(context.WithoutCancel(q.Context()), r.config.Work(k))
	}
	w.Header().Set("Content-Type", "text/plain")
	_, _ = io.WriteString(w, ResponseBody(k, body))
}

// recordInFlight updates the maximum number of requests in flight, and records a
// violation if n exceeds the slots.
func (r *Runner) recordInFlight(n int64) {
	for {
		m := r.maxInFlight.Load()
		if n <= m || r.maxInFlight.CompareAndSwap(m, n) {
			break
		}
	}
	if r.config.Slots > 0 && n > int64(r.config.Slots) {
		r.config.Truth.RecordViolation(InvariantSlotLimit, "runner %s has %d requests in flight, %d allowed", r.config.Runner.ID, n, r.config.Slots)
	}
}

func (r *Runner) isLeaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.leavingSince.IsZero()
}

// shouldFail reports whether requests are to fail. It records a violation if the
// runner has been leaving for more than LeavingGrace.
func (r *Runner) shouldFail() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leavingSince.IsZero() && time.Since(r.leavingSince) > LeavingGrace {
		r.config.Truth.RecordViolation(InvariantLeaving, "runner %s received a request %s after it started leaving", r.config.Runner.ID, time.Since(r.leavingSince))
	}
	return r.failAll
}

// ResponseBody returns the body of every runner's response to a request. Callers
// compare it with the received body to detect truncated and misrouted responses.
func ResponseBody(k spoolsill.RequestKey, body []byte) string {
	h := fnv.New64a()
	_, _ = h.Write(body)
	return fmt.Sprintf("answer to %s over %d bytes %016x end", k, len(body), h.Sum64())
}
