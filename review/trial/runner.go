//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// Bounds of the small deployments; see the settings in hosts.go.
const (
	saveEvery  = time.Second
	beatEvery  = 1500 * time.Millisecond
	workerCPU  = 64000
	workerMem  = 131072
	ticketTime = 1500 * time.Millisecond
)

// work is the spec of a job of the trials: what its tasks do.
type work struct {
	// MS is how long a task works.
	MS int `json:"ms"`
	// SavedBytes is the length of the saved text of a task; 0 means that it saves nothing.
	SavedBytes int `json:"saved,omitempty"`
}

// A started is a start that a runner carried out.
type started struct {
	at     time.Time
	runner string
	task   string
	run    int
}

// A noted is the end of a run as the system has taken note of it.
type noted struct {
	at   time.Time
	task string
	run  int
	how  string
}

// A cell is all runners of a trial, with what they saw.
type cell struct {
	record *record
	store  *platformStore
	// advised reports whether a start of a job's task needs a ticket.
	advised func(job string) bool
	// maxHold is the longest lease, gpus are those of each runner.
	maxHold time.Duration
	gpus    int
	// how decides how a run ends that is not stopped; nil means done.
	how func(x *runner, a *activeRun) string

	mu      sync.Mutex
	runners map[string]*runner
	starts  []started
	noted   []noted
	tickets map[string]time.Time // valid until
	seen    map[string]string    // specs by job
	foreign []string
	done    map[string]bool // tasks of which a run has ended done
	// lastEnds is when a run of each job last ended.
	lastEnds map[string]time.Time
}

func newCell(r *record, s *platformStore) *cell {
	return &cell{
		record:  r,
		store:   s,
		advised: func(string) bool { return false },
		maxHold: 6 * time.Second,
		runners: map[string]*runner{},
		tickets: map[string]time.Time{},
		seen:    map[string]string{},
		done:    map[string]bool{},

		lastEnds: map[string]time.Time{},
	}
}

// An activeRun is a run at work.
type activeRun struct {
	task  string
	run   int
	work  work
	begun time.Time
	saved string
	timer *time.Timer
}

func (a *activeRun) percent() int {
	return int(min(100*time.Since(a.begun)/max(time.Duration(a.work.MS)*time.Millisecond, 1), 99))
}

// A runner is a stand-in for one life of a worker.
type runner struct {
	cell    *cell
	id      string
	machine string
	rack    string
	address string
	born    time.Time
	mute    bool // answers nothing

	fence    uint64
	deadline int64
	active   map[string]*activeRun
	highest  map[string]int
	ends     [][]any
	lastEnd  int
	ended    chan struct{}
	gone     bool
}

// add starts a runner and writes its entry.
func (c *cell) add(i int, ip string) (*runner, error) {
	x := &runner{
		cell:    c,
		id:      fmt.Sprintf("i-%010x", rand.Uint64N(1<<40)),
		machine: fmt.Sprintf("m-%03d", i),
		rack:    fmt.Sprintf("r1-%d", i/4),
		born:    time.Now().Add(-time.Duration(i+1) * time.Minute),
		active:  map[string]*activeRun{},
		highest: map[string]int{},
		ended:   make(chan struct{}),
	}
	m := http.NewServeMux()
	m.HandleFunc("POST /api/hold", x.handle(x.hold))
	m.HandleFunc("POST /api/run-start", x.handle(x.start))
	m.HandleFunc("POST /api/run-stop", x.handle(x.stop))
	a, err := serve(ip, m)
	if err != nil {
		return nil, err
	}
	x.address = a
	c.mu.Lock()
	c.runners[x.id] = x
	c.mu.Unlock()
	go x.beat()
	return x, nil
}

// beat keeps the entry of a runner in the store.
func (x *runner) beat() {
	for seq := 1; ; seq++ {
		x.cell.mu.Lock()
		gone := x.gone
		x.cell.mu.Unlock()
		if gone {
			return
		}
		x.cell.store.put("servers", x.id, map[string]any{
			"service": "work", "addr": x.address, "zone": "vake", "version": "v1", "slots": 8,
			"state": "ready", "coldLeftMs": 0, "machine": x.machine, "seq": seq,
			"capacity": map[string]int{"cpu": workerCPU, "memMb": workerMem, "gpu": x.cell.gpus},
			"labels":   []string{"a", x.rack},
		})
		time.Sleep(beatEvery)
	}
}

// clock is the runner's own steady clock.
func (x *runner) clock() int64 {
	return time.Since(x.born).Milliseconds()
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadlineMs"`
	Fence      uint64 `json:"fence"`
	Saved      string `json:"saved"`
	Ticket     string `json:"ticket"`
	LastSeen   int    `json:"lastSeen"`
	WaitMS     int64  `json:"waitMs"`
}

func (x *runner) handle(f func(w http.ResponseWriter, r *http.Request, o order)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		x.cell.mu.Lock()
		mute, gone := x.mute, x.gone
		x.cell.mu.Unlock()
		if mute || gone {
			<-r.Context().Done() // no answer, and nothing is done
			panic(http.ErrAbortHandler)
		}
		if r.Header.Get("X-Spoolsill-Expect-Instance") != x.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		time.Sleep(time.Millisecond)
		f(w, r, o)
	}
}

func (x *runner) reject(w http.ResponseWriter, reason string) {
	writeJSON(w, http.StatusConflict, map[string]any{
		"clockMs": x.clock(),
		"reason":  reason,
	})
}

// acceptFence reports whether an order is not from a former holder. The caller holds the lock.
func (x *runner) acceptFence(o order) bool {
	if o.Fence < x.fence {
		return false
	}
	x.fence = o.Fence
	return true
}

func (x *runner) lease(until int64) {
	x.deadline = max(x.deadline, min(until, x.clock()+x.cell.maxHold.Milliseconds()))
}

// lapse ends all runs if the lease is over. The caller holds the lock.
func (x *runner) lapse() {
	if x.clock() <= x.deadline {
		return
	}
	for _, a := range x.active {
		x.end(a, "lapsed")
	}
}

func (x *runner) hold(w http.ResponseWriter, r *http.Request, o order) {
	c := x.cell
	c.mu.Lock()
	if !x.acceptFence(o) {
		c.mu.Unlock()
		x.reject(w, "fence")
		return
	}
	x.lapse()
	x.lease(o.DeadlineMS)
	for len(x.ends) > 0 && x.ends[0][0].(int) <= o.LastSeen {
		e := x.ends[0]
		c.noted = append(c.noted, noted{
			at:   time.Now(),
			task: e[1].(string),
			run:  e[2].(int),
			how:  e[3].(string),
		})
		x.ends = x.ends[1:]
	}
	wait := o.WaitMS > 0 && len(x.ends) == 0
	ended := x.ended
	c.mu.Unlock()
	if wait {
		t := time.NewTimer(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
		defer t.Stop()
		select {
		case <-ended:
		case <-t.C:
		case <-r.Context().Done():
			return
		}
	}
	c.mu.Lock()
	x.lapse()
	if x.mute {
		c.mu.Unlock()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	running := [][]any{}
	for _, a := range x.active {
		running = append(running, []any{a.task, a.run, a.saved, a.percent(), workerCPU / 64})
	}
	ends := append([][]any{}, x.ends[:min(len(x.ends), 500)]...)
	c.mu.Unlock()
	sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })
	writeJSON(w, http.StatusOK, map[string]any{
		"clockMs": x.clock(),
		"running": running,
		"ended":   ends,
	})
}

func (x *runner) start(w http.ResponseWriter, _ *http.Request, o order) {
	c := x.cell
	c.mu.Lock()
	reason := x.startReason(o)
	c.mu.Unlock()
	if reason != "" {
		x.reject(w, reason)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"clockMs": x.clock(),
	})
}

// startReason carries out a start, or returns why it is rejected. The caller holds the lock.
func (x *runner) startReason(o order) string {
	c := x.cell
	if !x.acceptFence(o) {
		return "fence"
	}
	x.lapse()
	if a := x.active[o.Task]; a != nil && a.run == o.Run {
		x.lease(o.DeadlineMS)
		return ""
	}
	if x.highest[o.Task] >= o.Run {
		x.lease(o.DeadlineMS)
		return "old"
	}
	if x.clock() > o.DeadlineMS {
		return "late"
	}
	job, _, _ := strings.Cut(o.Task, ".")
	if c.advised(job) && !c.validTicket(x, o) {
		c.record.printf("runner %s rejects %s run %d: ticket", x.id, o.Task, o.Run)
		return "ticket"
	}
	x.lease(o.DeadlineMS)
	if spec, ok := c.seen[job]; ok && spec != o.Spec {
		c.foreign = append(c.foreign, o.Task)
	}
	c.seen[job] = o.Spec
	a := &activeRun{
		task:  o.Task,
		run:   o.Run,
		begun: time.Now(),
		saved: o.Saved,
	}
	_ = json.Unmarshal([]byte(o.Spec), &a.work)
	x.active[o.Task] = a
	x.highest[o.Task] = o.Run
	c.starts = append(c.starts, started{
		at:     a.begun,
		runner: x.id,
		task:   o.Task,
		run:    o.Run,
	})
	c.record.printf("runner %s starts %s run %d", x.id, o.Task, o.Run)
	if a.work.SavedBytes > 0 {
		a.saved = savedText(a.work.SavedBytes)
		go x.save(a)
	}
	a.timer = time.AfterFunc(time.Duration(a.work.MS)*time.Millisecond, func() { x.finish(a) })
	return ""
}

// save renews the saved text of a run.
func (x *runner) save(a *activeRun) {
	for {
		time.Sleep(saveEvery)
		x.cell.mu.Lock()
		if x.active[a.task] != a {
			x.cell.mu.Unlock()
			return
		}
		a.saved = savedText(a.work.SavedBytes)
		x.cell.mu.Unlock()
	}
}

func savedText(n int) string {
	const digits = "0123456789abcdef"
	b := make([]byte, n)
	for i := range b {
		b[i] = digits[rand.IntN(len(digits))]
	}
	return string(b)
}

func (x *runner) finish(a *activeRun) {
	x.cell.mu.Lock()
	defer x.cell.mu.Unlock()
	x.lapse()
	if x.active[a.task] != a {
		return
	}
	how := "done"
	if x.cell.how != nil {
		how = x.cell.how(x, a)
	}
	x.end(a, how)
}

// end ends a run. The caller holds the lock.
func (x *runner) end(a *activeRun, how string) {
	if x.active[a.task] != a {
		return
	}
	a.timer.Stop()
	delete(x.active, a.task)
	x.lastEnd++
	job, _, _ := strings.Cut(a.task, ".")
	x.cell.lastEnds[job] = time.Now()
	if how == "done" {
		x.cell.done[a.task] = true
	}
	x.ends = append(x.ends, []any{x.lastEnd, a.task, a.run, how, a.saved})
	x.cell.record.printf("runner %s ends %s run %d: %s", x.id, a.task, a.run, how)
	close(x.ended)
	x.ended = make(chan struct{})
}

func (x *runner) stop(w http.ResponseWriter, _ *http.Request, o order) {
	c := x.cell
	c.mu.Lock()
	if !x.acceptFence(o) {
		c.mu.Unlock()
		x.reject(w, "fence")
		return
	}
	x.highest[o.Task] = max(x.highest[o.Task], o.Run)
	if a := x.active[o.Task]; a != nil && a.run <= o.Run {
		x.end(a, "stopped")
	}
	c.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{
		"clockMs": x.clock(),
	})
}

// validTicket reports whether an order carries the ticket for its step at this runner.
func (c *cell) validTicket(x *runner, o order) bool {
	i := strings.LastIndexByte(o.Task, '.')
	until, ok := c.tickets[o.Ticket]
	return ok && o.Ticket == o.Task[:i]+"@"+x.id && time.Now().Before(until)
}

// advise is the advice service: each runner may run each step.
func (c *cell) advise(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(10 * time.Millisecond)
	good := [][2]string{}
	c.mu.Lock()
	for _, id := range q.Workers {
		t := q.Step + "@" + id
		c.tickets[t] = time.Now().Add(ticketTime)
		good = append(good, [2]string{id, t})
	}
	c.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{
		"good":     good,
		"valid_ms": ticketTime.Milliseconds(),
	})
}
