package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/agent"
)

// A WorkerConfig describes a [Worker].
type WorkerConfig struct {
	Worker spoolsill.Worker
	Truth  *Truth
	// Runtime returns the run time of a task and whether the task then fails.
	// If Runtime is nil, a task runs for its declared run time, or until it is
	// stopped if it declares none.
	Runtime func(agent.StartRequest) (time.Duration, bool)
	// Use returns the resource usage that is reported for a task; nil means its
	// shape.
	Use func(agent.StartRequest) spoolsill.Resources
}

// A Worker is the fake agent of one worker. It starts every task whose lease has
// not expired, even beyond its capacity. It is safe for concurrent use.
type Worker struct {
	Fault   Fault
	config  WorkerConfig
	calls   atomic.Int64
	started atomic.Int64

	mu      sync.Mutex
	tasks   map[agent.TaskAttempt]*workerTask
	failAll bool
	killed  bool
}

type workerTask struct {
	start     agent.StartRequest
	state     agent.State
	lease     time.Time
	stop      context.CancelFunc
	stopState agent.State // state after a stop or checkpoint
}

// NewWorker returns a worker without tasks.
func NewWorker(c WorkerConfig) *Worker {
	return &Worker{
		config: c,
		tasks:  map[agent.TaskAttempt]*workerTask{},
	}
}

// FailAll sets whether tasks that start from now on fail after a millisecond.
func (w *Worker) FailAll(fail bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failAll = fail
}

// Kill ends all tasks and makes the agent unavailable, like a power failure of
// the machine.
func (w *Worker) Kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.killed = true
	for ref, t := range w.tasks {
		t.stop()
		w.end(ref, t, agent.Stopped)
	}
	w.tasks = map[agent.TaskAttempt]*workerTask{}
	w.Fault.SetDown(true)
}

// Handler returns the HTTP API of the agent.
func (w *Worker) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(w.count, w.Fault.wrap)
	r.Post("/v1/start", w.start)
	r.Post("/v1/renew", w.renew)
	r.Post("/v1/signal", w.signal)
	return r
}

func (w *Worker) count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		w.calls.Add(1)
		next.ServeHTTP(out, r)
	})
}

func (w *Worker) start(out http.ResponseWriter, r *http.Request) {
	var s agent.StartRequest
	if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
		http.Error(out, err.Error(), http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	ref := agent.TaskAttempt{
		Task:    s.Task,
		Attempt: s.Attempt,
	}
	if _, ok := w.tasks[ref]; ok {
		writeJSON(out, struct{}{})
		return
	}
	end := time.UnixMilli(s.LeaseEnd)
	if w.killed || !time.Now().Before(end) {
		http.Error(out, "lease has expired", http.StatusConflict)
		return
	}
	w.begin(ref, s, end)
	writeJSON(out, struct{}{})
}

// begin starts a task. w.mu must be held.
func (w *Worker) begin(ref agent.TaskAttempt, s agent.StartRequest, lease time.Time) {
	ctx, cancel := context.WithCancel(context.Background())
	t := &workerTask{
		start:     s,
		state:     agent.Running,
		lease:     lease,
		stop:      cancel,
		stopState: agent.Stopped,
	}
	w.tasks[ref] = t
	w.started.Add(1)
	w.config.Truth.TaskStarted(s.Task, w.config.Worker.ID)
	w.checkCapacity()
	d, fails := w.taskRuntime(s)
	go w.runTask(ctx, ref, t, d, fails)
}

// taskRuntime returns the run time of a task and whether it then fails.
// w.mu must be held.
func (w *Worker) taskRuntime(s agent.StartRequest) (time.Duration, bool) {
	if w.failAll {
		return time.Millisecond, true
	}
	if w.config.Runtime != nil {
		return w.config.Runtime(s)
	}
	if s.Runtime <= 0 {
		return 1 << 50, false // 13 days, longer than any test
	}
	return s.Runtime, false
}

// checkCapacity records a violation if the running tasks exceed the worker's
// capacity. w.mu must be held.
func (w *Worker) checkCapacity() {
	var sum spoolsill.Resources
	for _, t := range w.tasks {
		if t.state == agent.Running {
			sum = sum.Add(t.start.Shape)
		}
	}
	if !sum.FitsIn(w.config.Worker.Capacity) {
		w.config.Truth.RecordViolation(InvariantCapacity, "worker %s runs %s of %s", w.config.Worker.ID, sum, w.config.Worker.Capacity)
	}
}

// runTask waits for the end of a task: after d, by a stop, or when its lease
// expires.
func (w *Worker) runTask(ctx context.Context, ref agent.TaskAttempt, t *workerTask, d time.Duration, fails bool) {
	defer t.stop()
	done := time.NewTimer(d)
	defer done.Stop()
	const leaseCheckInterval = 50 * time.Millisecond
	lease := time.NewTicker(leaseCheckInterval)
	defer lease.Stop()
	for {
		select {
		case <-ctx.Done():
			w.finish(ref, t, "")
			return
		case <-done.C:
			s := agent.Exited
			if fails {
				s = agent.Failed
			}
			w.finish(ref, t, s)
			return
		case <-lease.C:
			if w.expired(t) {
				w.finish(ref, t, agent.Expired)
				return
			}
		}
	}
}

func (w *Worker) expired(t *workerTask) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !time.Now().Before(t.lease)
}

// finish records that a task ended in state s, or in its stopState if s is empty.
func (w *Worker) finish(ref agent.TaskAttempt, t *workerTask, s agent.State) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s == "" {
		s = t.stopState
	}
	w.end(ref, t, s)
}

// end records that a task ended in state s, unless it already had ended. w.mu
// must be held.
func (w *Worker) end(ref agent.TaskAttempt, t *workerTask, s agent.State) {
	if t.state != agent.Running {
		return
	}
	t.state = s
	w.config.Truth.TaskEnded(ref.Task, w.config.Worker.ID)
}

func (w *Worker) renew(out http.ResponseWriter, r *http.Request) {
	var q agent.RenewRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(out, err.Error(), http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	end := time.UnixMilli(q.LeaseEnd)
	for _, ref := range q.Tasks {
		if t, ok := w.tasks[ref]; ok && end.After(t.lease) {
			t.lease = end
		}
	}
	for _, ref := range q.Forget {
		if t, ok := w.tasks[ref]; ok && t.state != agent.Running {
			delete(w.tasks, ref)
		}
	}
	writeJSON(out, w.statuses())
}

func (w *Worker) statuses() []agent.Status {
	out := make([]agent.Status, 0, len(w.tasks))
	for ref, t := range w.tasks {
		used := t.start.Shape
		if w.config.Use != nil {
			used = w.config.Use(t.start)
		}
		out = append(out, agent.Status{
			TaskAttempt: ref,
			State:       t.state,
			Used:        used,
		})
	}
	return out
}

func (w *Worker) signal(out http.ResponseWriter, r *http.Request) {
	var q agent.Signal
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(out, err.Error(), http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	t, ok := w.tasks[q.TaskAttempt]
	if !ok || t.state != agent.Running {
		http.Error(out, "not running", http.StatusConflict)
		return
	}
	switch q.Verb {
	case agent.Stop:
		t.stopState = agent.Stopped
		t.stop()
	case agent.Checkpoint:
		t.stopState = agent.Checkpointed
		t.stop()
	}
	writeJSON(out, struct{}{})
}
