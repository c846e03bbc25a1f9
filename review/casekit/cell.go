//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/cellfake"
	"github.com/spoolsill/spoolsill/internal/standin/wire"
	"github.com/spoolsill/spoolsill/leader"
	"github.com/spoolsill/spoolsill/sched"
)

// A cellConfig describes the deployment of a case.
type cellConfig struct {
	hosts         int
	machines      int
	maxHold       time.Duration
	statusSeconds int
	taskTime      time.Duration
}

// queuePrefix is the path of the only queue.
const queuePrefix = "/lookup/"

// A cell is a deployment: the hosts of the project, and the stand-ins around them.
type cell struct {
	config   cellConfig
	record   *record
	store    *cellfake.Store
	gate     *storeGate
	workers  *cellfake.Workers
	machines []*machine
	hosts    []*host
	client   *client

	mu     sync.Mutex
	starts map[sched.TaskID][]start
}

// A start is a run of a task that a worker began.
type start struct {
	worker spoolsill.WorkerID
	run    sched.RunID
	at     time.Time
}

func startCell(ctx context.Context, config cellConfig, r *record, dir, program string) (*cell, error) {
	c := &cell{
		config:  config,
		record:  r,
		store:   cellfake.NewStore(),
		workers: cellfake.NewWorkers(config.maxHold),
		starts:  map[sched.TaskID][]start{},
	}
	c.workers.RunResult = func(sched.RunID) (time.Duration, sched.EndKind) { return config.taskTime, sched.EndDone }
	c.workers.Began = c.began
	if err := wire.PutConfig(c.store, 1, []wire.Route{
		{
			Queue:  "lookup",
			Prefix: queuePrefix,
		},
	}); err != nil {
		return nil, err
	}
	for i := range config.machines {
		m, err := startMachine(ctx, fmt.Sprintf("m%d", i), c.store, c.workers, r)
		if err != nil {
			return nil, err
		}
		c.machines = append(c.machines, m)
	}
	c.gate = &storeGate{
		next:   wire.StoreHandler(c.store),
		record: r,
	}
	storeListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	serve(ctx, storeListener, c.gate)
	advisorListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	serve(ctx, advisorListener, wire.AdvisorHandler(&cellfake.Advisor{}))
	if err := c.startHosts(dir, program, storeListener.Addr().String(), advisorListener.Addr().String()); err != nil {
		c.stop()
		return nil, err
	}
	if err := c.awaitReady(ctx); err != nil {
		c.stop()
		return nil, err
	}
	return c, nil
}

func (c *cell) startHosts(dir, program, store, advisor string) error {
	if _, err := os.Stat(program); err != nil {
		return err
	}
	network, err := freeNetwork(c.config.hosts)
	if err != nil {
		return err
	}
	var fronts []string
	for i := range c.config.hosts {
		h := &host{
			command: []string{program},
			dir:     dir,
			record:  c.record,
			settings: hostSettings{
				Name:          fmt.Sprintf("front-espoo-%d", i+1),
				Zone:          "espoo-a",
				IP:            fmt.Sprintf("%s.%d", network, i+1),
				Store:         store,
				Advisor:       advisor,
				MaxHoldMS:     c.config.maxHold.Milliseconds(),
				StatusSeconds: c.config.statusSeconds,
			},
		}
		c.hosts = append(c.hosts, h)
		fronts = append(fronts, fmt.Sprintf("%s:%d", h.settings.IP, frontPort))
		if err := h.start(); err != nil {
			return err
		}
	}
	c.client = newClient(fronts, c.record)
	return nil
}

// networkTries is how many loopback networks are tried.
const networkTries = 20

// freeNetwork returns a loopback network in which the ports of n hosts are free.
func freeNetwork(n int) (string, error) {
	for range networkTries {
		network := fmt.Sprintf("127.%d.%d", 20+rand.N(200), rand.N(250))
		if portsFree(network, n) {
			return network, nil
		}
	}
	return "", errors.New("no loopback network with free ports")
}

func portsFree(network string, n int) bool {
	for i := range n {
		for _, port := range []int{frontPort, readyPort, controlPort, peerPort, metricsPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, i+1, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (c *cell) stop() {
	var wg sync.WaitGroup
	for _, h := range c.hosts {
		wg.Go(h.stop)
	}
	wg.Wait()
}

// readyTimeout is how long the system may take to be ready.
const readyTimeout = 15 * time.Second

// awaitReady waits until a host leads and all hosts accept requests.
func (c *cell) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for wait(ctx, 100*time.Millisecond) {
		if c.leader() != nil && c.client.ready() {
			return nil
		}
	}
	return errors.New("the system is not ready")
}

// leader returns the host that leads according to the store, or nil.
func (c *cell) leader() *host {
	h, _, err := leader.ReadHead(context.Background(), c.store)
	if err != nil {
		return nil
	}
	for _, x := range c.hosts {
		if x.settings.Name == string(h.Host) {
			return x
		}
	}
	return nil
}

// partitions returns the partitions of the hosts, in which they keep accepted jobs.
func (c *cell) partitions() []string {
	var names []string
	for _, h := range c.hosts {
		names = append(names, h.settings.Name)
	}
	return names
}

// began records a run that a worker began. It is called with the lock of the workers held.
func (c *cell) began(w spoolsill.WorkerIncarnation, r sched.RunID, _ string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts[r.Task] = append(c.starts[r.Task], start{
		worker: w.Worker,
		run:    r,
		at:     time.Now(),
	})
	c.record.add("worker %s: begins %s run %d", w.Worker, r.Task, r.Number)
}

// startsOf returns the starts of a task.
func (c *cell) startsOf(t sched.TaskID) []start {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]start(nil), c.starts[t]...)
}

// startedSince returns whether a task was started after a time.
func (c *cell) startedSince(t sched.TaskID, since time.Time) bool {
	starts := c.startsOf(t)
	return len(starts) > 0 && starts[len(starts)-1].at.After(since)
}

// lastRanAt returns the tasks whose last run was begun by a worker.
func (c *cell) lastRanAt(w spoolsill.WorkerID) []sched.TaskID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var tasks []sched.TaskID
	for t, starts := range c.starts {
		if starts[len(starts)-1].worker == w {
			tasks = append(tasks, t)
		}
	}
	return tasks
}

// taskOf returns a task of the first step of a job.
func taskOf(id spoolsill.JobID, index int) sched.TaskID {
	return sched.TaskID{
		Stage: sched.StageID{
			Job: id,
		},
		Index: index,
	}
}

// wait waits for d, and returns false if ctx ends first.
func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func joinTasks(tasks []sched.TaskID) string {
	var names []string
	for _, t := range tasks {
		names = append(names, t.String())
	}
	return strings.Join(names, " ")
}
