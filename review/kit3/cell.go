//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/spoolsill/spoolsill/internal/cellfake"
	"github.com/spoolsill/spoolsill/internal/standin/wire"
	"github.com/spoolsill/spoolsill/leader"
	"github.com/spoolsill/spoolsill/platform"
	"github.com/spoolsill/spoolsill/sched"
	"github.com/spoolsill/spoolsill/store"

	"github.com/spoolsill/spoolsill"
)

const (
	service     = "quizdesk"
	runnerCPU   = 32_000
	runnerGPUs  = 8
	runnerMemMB = 131_072
	maxHold     = 10 * time.Second
)

// A cell is a small deployment: hosts as processes, and stand-ins for the store, the runners
// and the advisor.
type cell struct {
	ctx     context.Context //nolint:containedctx // of the whole case
	dir     string          // for settings and logs
	record  *record
	store   *cellfake.Store
	workers *cellfake.Workers
	runs    *runLog
	client  *http.Client
	// duration returns how long a run goes on and how it ends.
	duration func(sched.RunID) (time.Duration, sched.EndKind)

	storeAddress   string
	advisorAddress string
	net            int // tells cells that run beside each other apart
	machines       []*machine
	hosts          []*host
	version        int
}

func newCell(ctx context.Context, dir string, r *record, machines, hosts int, routes []route) (*cell, error) {
	c := &cell{
		ctx:     ctx,
		dir:     dir,
		record:  r,
		store:   cellfake.NewStore(),
		workers: cellfake.NewWorkers(maxHold),
		net:     os.Getpid(),
		client: &http.Client{
			Timeout: 3 * time.Second,
		},
	}
	c.runs = newRunLog(c)
	c.workers.RunResult = func(id sched.RunID) (time.Duration, sched.EndKind) {
		d, k := time.Second, sched.EndDone
		if c.duration != nil {
			d, k = c.duration(id)
		}
		c.runs.ends(id, d, k)
		return d, k
	}
	c.workers.Began = func(l spoolsill.WorkerIncarnation, id sched.RunID, _ string) { c.runs.began(l.Worker, id) }
	if err := c.putConfig(routes); err != nil {
		return nil, err
	}
	var err error
	if c.storeAddress, err = c.serveAt(1, wire.StoreHandler(c.store)); err != nil {
		return nil, err
	}
	if c.advisorAddress, err = c.serveAt(2, wire.AdvisorHandler(&cellfake.Advisor{})); err != nil {
		return nil, err
	}
	for i := range machines {
		if err := c.addMachine(i); err != nil {
			return nil, err
		}
	}
	for range hosts {
		if _, err := c.addHost(); err != nil {
			return nil, err
		}
	}
	return c, c.waitForService()
}

// ip returns the n-th loopback address of the cell.
func (c *cell) ip(n int) string {
	const first, nets = 32, 200
	return fmt.Sprintf("127.%d.%d.%d", first+c.net/nets%nets, c.net%nets, n)
}

func (c *cell) serveAt(n int, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(c.ip(n), "0"))
	if err != nil {
		return "", err
	}
	c.serve(l, h)
	return l.Addr().String(), nil
}

func (c *cell) serve(l net.Listener, h http.Handler) {
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: time.Minute,
	}
	context.AfterFunc(c.ctx, func() { _ = s.Close() })
	go func() { _ = s.Serve(l) }()
}

// A route is a queue of the configuration.
type route struct {
	name     string
	priority int
}

// putConfig writes the next version of the configuration, as the operator does. The store's
// answer is the acknowledgement.
func (c *cell) putConfig(routes []route) error {
	c.version++
	var list []any
	var names []string
	for _, r := range routes {
		names = append(names, r.name)
		list = append(list, map[string]any{
			"name":        r.name,
			"host":        "cell.example",
			"pathPrefix":  "/" + r.name + "/",
			"priority":    r.priority,
			"service":     service,
			"maxAttempts": 3,
			"stretch":     4,
			"goalMs":      3000,
		})
	}
	b, err := json.Marshal(map[string]any{
		"version": c.version,
		"routes":  list,
		"services": []any{
			map[string]any{
				"name":           service,
				"admissionCheck": false,
			},
		},
		"limits": map[string]int{
			"maxBodyBytes": 262_144,
		},
	})
	if err != nil {
		return err
	}
	c.store.Put(store.Put{
		Key: store.Key{
			Table: platform.OperatorTable,
			Name:  platform.ConfigRow,
		},
		Value: b,
	})
	c.record.add("configuration %d is acknowledged: routes %s", c.version, strings.Join(names, ", "))
	return nil
}

// waitForService waits until all hosts are ready and one of them leads.
func (c *cell) waitForService() error {
	end := time.Now().Add(12 * time.Second)
	for time.Now().Before(end) {
		ready := 0
		for _, h := range c.hosts {
			resp, err := c.client.Get("http://" + net.JoinHostPort(h.ip, readyPort) + "/api/ready")
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if _, ok := c.leader(); ok && ready == len(c.hosts) {
			pause(c.ctx, time.Second)
			return nil
		}
		pause(c.ctx, 100*time.Millisecond)
	}
	return fmt.Errorf("hosts are not ready")
}

// leader returns the host that last wrote to the store under a condition.
func (c *cell) leader() (*host, bool) {
	head, _, err := leader.ReadHead(c.ctx, c.store)
	if err != nil || head.Released {
		return nil, false
	}
	for _, h := range c.hosts {
		if h.name == string(head.Host) && h.runs() {
			return h, true
		}
	}
	return nil, false
}

// A step is a step of a job, as clients hand it in.
type step struct {
	Count       int   `json:"count"`
	CPU         int64 `json:"cpu,omitempty"`
	MemMB       int64 `json:"memMb,omitempty"`
	GPU         int   `json:"gpu,omitempty"`
	EstMS       int   `json:"estMs,omitempty"`
	AfterRev    []int `json:"afterRev,omitempty"`
	LongRunning bool  `json:"longRunning,omitempty"`
	Gang        bool  `json:"gang,omitempty"`
	// AntiAffinity is how many tasks of the step a runner may hold.
	AntiAffinity int `json:"antiAffinity,omitempty"`
}

// newID returns a job id of 16 hexadecimal digits.
func newID() spoolsill.JobID {
	return spoolsill.JobID(fmt.Sprintf("%016x", rand.Uint64()))
}

// submit hands in a job, with the retries of a client, and reports whether it was accepted.
func (c *cell) submit(route string, id spoolsill.JobID, steps ...step) bool {
	b, err := json.Marshal(map[string]any{
		"spec":  "review",
		"steps": steps,
	})
	if err != nil {
		panic(err)
	}
	for try := range 5 {
		h := c.hosts[(try+int(id[15]))%len(c.hosts)]
		status, _ := c.call(h, http.MethodPost, route, id, string(b))
		if status == http.StatusOK {
			return true
		}
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			return false
		}
		pause(c.ctx, 300*time.Millisecond)
	}
	return false
}

// call makes a client's call and records it. Status 0 means that no answer came.
func (c *cell) call(h *host, method, route string, id spoolsill.JobID, body string) (int, string) {
	path := "/" + route + "/" + string(id)
	r, err := http.NewRequestWithContext(c.ctx, method, "http://"+h.clientAddress()+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = "cell.example"
	r.Header.Set("X-Spoolsill-Deadline-Ms", "3000")
	resp, err := c.client.Do(r)
	if err != nil {
		c.record.add("client  %s %s at %s %s -> no answer: %v", method, path, h.name, body, err)
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	var state struct {
		State string `json:"state"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&state)
	c.record.add("client  %s %s at %s %s -> %d %s", method, path, h.name, body, resp.StatusCode, state.State)
	return resp.StatusCode, state.State
}

// stop stops all hosts.
func (c *cell) stop() {
	var wg sync.WaitGroup
	for _, h := range c.hosts {
		wg.Go(h.stop)
	}
	wg.Wait()
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func runsText(rs []sched.RunID) string {
	var texts []string
	for _, r := range rs {
		texts = append(texts, fmt.Sprintf("%s#%d", r.Task, r.Number))
	}
	slices.Sort(texts)
	return strings.Join(texts, " ")
}

// A runLog has what runners have run. It is safe for concurrent use.
type runLog struct {
	cell *cell
	mu   sync.Mutex
	// running has the current runs of each task, starts the number of starts.
	running map[sched.TaskID]int
	starts  map[sched.TaskID]int
	failed  map[spoolsill.JobID]int
	// since has since when a task has not run.
	since map[sched.TaskID]time.Time
	gone  map[sched.RunID]bool
	// places has where each run was started.
	places map[sched.RunID]spoolsill.WorkerID
}

func newRunLog(c *cell) *runLog {
	return &runLog{
		cell:    c,
		running: map[sched.TaskID]int{},
		starts:  map[sched.TaskID]int{},
		failed:  map[spoolsill.JobID]int{},
		since:   map[sched.TaskID]time.Time{},
		gone:    map[sched.RunID]bool{},
		places:  map[sched.RunID]spoolsill.WorkerID{},
	}
}

func (l *runLog) began(w spoolsill.WorkerID, r sched.RunID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running[r.Task]++
	l.starts[r.Task]++
	delete(l.since, r.Task)
	l.places[r] = w
	l.cell.record.add("runner  %s starts %s#%d", w, r.Task, r.Number)
}

// ends records how a run will end, unless it is lost or stopped before.
func (l *runLog) ends(r sched.RunID, d time.Duration, k sched.EndKind) {
	time.AfterFunc(d, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.gone[r] || l.cell.ctx.Err() != nil {
			return
		}
		l.gone[r] = true
		l.running[r.Task]--
		l.since[r.Task] = time.Now()
		if k == sched.EndFailed {
			l.failed[r.Task.Stage.Job]++
		}
		l.cell.record.add("runner  %s#%d ends %s", r.Task, r.Number, k)
	})
}

func (l *runLog) lost(rs []sched.RunID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range rs {
		if l.gone[r] {
			continue
		}
		l.gone[r] = true
		l.running[r.Task]--
		l.since[r.Task] = time.Now()
	}
}

// failedRuns returns how many runs of a job have ended as failed.
func (l *runLog) failedRuns(id spoolsill.JobID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failed[id]
}

// runningCount returns how many runs there are.
func (l *runLog) runningCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, k := range l.running {
		n += k
	}
	return n
}

// startCount returns how many runs of a task have started.
func (l *runLog) startCount(t sched.TaskID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts[t]
}

// idleSince returns the tasks that have run before and don't run now, with the time since when.
func (l *runLog) idleSince() map[sched.TaskID]time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	idle := map[sched.TaskID]time.Time{}
	for t, at := range l.since {
		if l.running[t] == 0 {
			idle[t] = at
		}
	}
	return idle
}

func taskOf(id spoolsill.JobID, step, index int) sched.TaskID {
	return sched.TaskID{
		Stage: sched.StageID{
			Job:  id,
			Step: step,
		},
		Index: index,
	}
}

// at returns how many runs a runner has.
func (l *runLog) at(w spoolsill.WorkerID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for r, id := range l.places {
		if id == w && !l.gone[r] {
			n++
		}
	}
	return n
}
