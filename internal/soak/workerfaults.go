package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/standin/wire"
	"github.com/spoolsill/spoolsill/platform"
	"github.com/spoolsill/spoolsill/sched"
	"github.com/spoolsill/spoolsill/store"
)

const (
	// workerFaultStream is the random stream of a seed for the faults of workers. It is
	// separate from that of the other faults, so that their plan does not depend on it.
	workerFaultStream = 14
	// maxWorkerFaultGap is the longest time between two faults of workers.
	maxWorkerFaultGap = 700 * time.Millisecond
	// crashStream is the random stream of a seed for crashes of workers that no task causes,
	// and maxCrashGap the longest time between two of these.
	crashStream = 15
	maxCrashGap = 5 * time.Second
	// crashingPrefix is the prefix of the ids of jobs whose task crashes its workers, and
	// crashAfter the time from the start of such a task to the crash.
	crashingPrefix = "c"
	crashAfter     = 10 * time.Millisecond
	// A crashed worker restarts at once, after shortRestart, or after minRestart to
	// maxRestart. If it keeps its id, its new entry is written up to maxEntryDelay later.
	shortRestart  = 50 * time.Millisecond
	minRestart    = time.Second
	maxRestart    = 4 * time.Second
	maxEntryDelay = 1500 * time.Millisecond
	// maxCrashingJobs is the largest number of jobs whose task crashes its workers.
	maxCrashingJobs = 4
	// maxCapacityTime is the longest duration of a changed capacity, maxInvalidTime that
	// of an entry of another writer.
	maxCapacityTime = 6 * time.Second
	maxInvalidTime  = 3 * time.Second
	// capacityGrace is the time within which a leader must know of a reduced capacity. The
	// limits in the settings of the hosts allow three seconds and a worker's heartbeat.
	capacityGrace = 4500 * time.Millisecond
)

func crashesWorkers(id spoolsill.JobID) bool {
	return strings.HasPrefix(string(id), crashingPrefix)
}

// invalidEntries are entries that no worker writes: malformed ones, and one of another
// service.
var invalidEntries = []string{
	"\x00\xff\xfe",
	"null",
	`{"service":"work","state":"ready"}`,
	`{"service":"work","addr":"127.0.0.1:1","state":"resting","capacity":{"cpu":4000,"memMb":1024},"labels":[]}`,
	`{"service":"work","addr":"127.0.0.1:1","state":"ready","capacity":{"cpu":-4000,"memMb":1024},"labels":[]}`,
	`{"service":"work","addr":"127.0.0.1:1","state":"ready","capacity":"4 cores","labels":[]}`,
	`{"service":7,"addr":"127.0.0.1:1","state":"ready","capacity":{"cpu":4000,"memMb":1024},"labels":{}}`,
	`{"service":"elsewhere","addr":"127.0.0.1:1","zone":"z","state":"ready","capacity":{"cpu":64000,"memMb":65536},"labels":["a"]}`,
}

// A machine runs one worker after another at the same address.
type machine struct {
	proxy    *Proxy
	activeID atomic.Pointer[spoolsill.WorkerID] // of the worker that answers at the address

	mu       sync.Mutex
	entry    wire.WorkerEntry // of the newest worker
	restarts int
	down     bool // the newest worker has crashed and not restarted
}

// current returns the entry of the machine's newest worker.
func (m *machine) current() wire.WorkerEntry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.entry
}

// crashCount returns the number of crashes after which a worker was started again.
func (m *machine) crashCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.restarts
}

// serveMachine returns a handler that serves the machine's active worker.
func (x *run) serveMachine(m *machine) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		wire.WorkerHandler(x.workers, *m.activeID.Load()).ServeHTTP(w, r)
	})
}

// workerCrashed records a crash. The worker is restarted after a random time, under the same
// id or a new one.
func (x *run) workerCrashed(id spoolsill.WorkerID, lost []sched.RunID) {
	x.logEvent("%s crashes with %d runs", id, len(lost))
	x.checker.RunsLost(lost)
	for _, m := range x.machines {
		if m.current().ID == id && m.markDown() {
			go x.restartMachine(m, rand.New(rand.NewPCG(rand.Uint64(), 0))) //nolint:gosec // not security-relevant
			return
		}
	}
}

// markDown records that the machine's worker has crashed. It returns false if the worker
// had not restarted since an earlier crash.
func (m *machine) markDown() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	wasDown := m.down
	m.down = true
	return !wasDown
}

// crashAtRandomTimes crashes workers at random times until ctx ends.
func (x *run) crashAtRandomTimes(ctx context.Context) {
	r := rand.New(rand.NewPCG(x.config.Seed, crashStream)) //nolint:gosec // a seed is to give the same plan each time
	for wait(ctx, randomDuration(r, 0, maxCrashGap)) {
		x.crashWorkers(1 + r.IntN(len(x.machines)))
	}
}

// crashWorkers crashes the first n workers at the same time.
func (x *run) crashWorkers(n int) {
	for _, m := range x.machines[:n] {
		id := m.current().ID
		x.workerCrashed(id, x.workers.Crash(id))
	}
}

// restartMachine starts a worker on a machine after a random time. The worker has the id of
// the crashed one or a new id.
func (x *run) restartMachine(m *machine, r *rand.Rand) {
	delay := []time.Duration{0, shortRestart, randomDuration(r, minRestart, maxRestart)}[r.IntN(3)]
	if !wait(x.ctx, delay) {
		return
	}
	if r.IntN(2) == 0 {
		x.restartWorker(m, randomDuration(r, 0, maxEntryDelay))
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = false
	old := m.entry.ID
	m.restarts++
	m.entry.ID = spoolsill.WorkerID(fmt.Sprintf("%s-%d", m.entry.Machine, m.restarts))
	x.workers.Replace(old, m.entry.ID)
	m.entry.Born = x.workers.CurrentIncarnation(m.entry.ID).StartTime
	m.activeID.Store(&m.entry.ID)
	wire.DeleteWorker(x.store, old)
	x.putEntry(m.entry)
	x.logEvent("%s restarts as %s", old, m.entry.ID)
}

// restartWorker restarts a machine's worker under the same id, and writes its entry after
// entryDelay unless the worker has restarted again by then.
func (x *run) restartWorker(m *machine, entryDelay time.Duration) {
	m.mu.Lock()
	m.restarts++
	m.down = false
	incarnation := x.workers.Restart(m.entry.ID)
	m.entry.Born = incarnation.StartTime
	m.mu.Unlock()
	x.logEvent("%s restarts", incarnation)
	if !wait(x.ctx, entryDelay) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.entry.Born == incarnation.StartTime {
		x.putEntry(m.entry)
	}
}

// injectWorkerFaults injects crashes of workers, changes of their capacity and entries of
// another writer until ctx ends, and returns once capacity and entries are restored.
func (x *run) injectWorkerFaults(ctx context.Context, hosts []string) {
	r := rand.New(rand.NewPCG(x.config.Seed, workerFaultStream)) //nolint:gosec // a seed is to give the same plan each time
	c := newClient(x.config.Clients+2, x.config.Seed, hosts, x.checker)
	defer c.httpClient.CloseIdleConnections()
	var active sync.WaitGroup
	defer active.Wait()
	active.Go(func() { x.crashAtRandomTimes(ctx) })
	for submitted := 0; ctx.Err() == nil; wait(ctx, randomDuration(r, 0, maxWorkerFaultGap)) {
		switch r.IntN(4) {
		case 0:
			if submitted < maxCrashingJobs {
				submitted++
				active.Go(func() { c.submitCrashingJob(ctx, submitted) })
			}
		case 1:
			m := x.machines[r.IntN(len(x.machines))]
			capacity, duration := r.IntN(workerCapacity+1), randomDuration(r, 0, maxCapacityTime)
			active.Go(func() { x.changeCapacity(ctx, m, capacity, duration) })
		default:
			m := x.machines[r.IntN(len(x.machines))]
			value, overwrite, duration := invalidEntries[r.IntN(len(invalidEntries))], r.IntN(3) == 0, randomDuration(r, 0, maxInvalidTime)
			active.Go(func() { x.writeInvalidEntry(ctx, m, value, overwrite, duration) })
		}
	}
}

// submitCrashingJob submits a job whose task crashes its workers.
func (c *client) submitCrashingJob(ctx context.Context, n int) {
	id := spoolsill.JobID(fmt.Sprintf("%s%07x%08x", crashingPrefix, c.number, n))
	steps := []step{
		{
			Count: 1,
			CPU:   1000,
			EstMS: 400,
		},
	}
	for range maxSubmits {
		c.checker.SubmitSent(id, steps)
		status, _ := c.call(ctx, http.MethodPost, queues[0]+string(id), `{"spec":"crashes","steps":[{"count":1,"cpu":1000,"estMs":400}]}`)
		c.checker.SubmitAnswered(id, status)
		if status == http.StatusOK || isRefusal(status) || !wait(ctx, maxThinkTime) {
			return
		}
	}
}

// changeCapacity changes the capacity of a machine for the given time.
func (x *run) changeCapacity(ctx context.Context, m *machine, capacity int, duration time.Duration) {
	set := func(capacity int) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.entry.Capacity.Processors = spoolsill.Millicores(capacity) * spoolsill.Core
		x.workers.SetCapacity(m.entry.ID, capacity)
		x.putEntry(m.entry)
		x.logEvent("%s has capacity for %d runs", m.entry.ID, capacity)
	}
	set(capacity)
	wait(ctx, duration)
	set(workerCapacity)
}

// writeInvalidEntry writes an entry that no worker writes, under an id of its own or, if
// overwrite is true, over the machine's entry. After the given time it removes the entry or
// restores the machine's.
func (x *run) writeInvalidEntry(ctx context.Context, m *machine, value string, overwrite bool, duration time.Duration) {
	id := spoolsill.WorkerID("strange-" + m.current().Machine)
	if overwrite {
		id = m.current().ID
	}
	x.logEvent("another writer writes entry %s", id)
	x.store.Put(store.Put{
		Key: store.Key{
			Table: platform.WorkersTable,
			Name:  string(id),
		},
		Value: []byte(value),
	})
	wait(ctx, duration)
	if !overwrite {
		wire.DeleteWorker(x.store, id)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	x.putEntry(m.entry)
}
