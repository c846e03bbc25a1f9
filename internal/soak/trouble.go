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
	// troubleStream is the stream of random numbers, for each seed, that decides on
	// the troubles of workers, apart from the plan of harms.
	troubleStream = 14
	// troubleGap is the most between two of them.
	troubleGap = 700 * time.Millisecond
	// crashStream is the stream that decides when workers crash for no fault of a task,
	// crashGap the most between two such moments.
	crashStream = 15
	crashGap    = 5 * time.Second
	// crashingPrefix begins the ids of jobs of which a task crashes its workers, which
	// they do crashAfter their start.
	crashingPrefix = "c"
	crashAfter     = 10 * time.Millisecond
	// Workers are back at once, after backSoon, or after backLeast to backMost; the entry
	// of a life that keeps its id may be late by entryLate.
	backSoon  = 50 * time.Millisecond
	backLeast = time.Second
	backMost  = 4 * time.Second
	entryLate = 1500 * time.Millisecond
	// crashingMost is how many such jobs there are.
	crashingMost = 4
	// movedFor is the longest that a room is other than usual, strangeFor that an
	// entry of another writer stays.
	movedFor   = 6 * time.Second
	strangeFor = 3 * time.Second
	// roomKnown is within how long a room that has shrunk must be known, by the
	// bounds in the hosts' settings: three seconds and a worker's heartbeat.
	roomKnown = 4500 * time.Millisecond
)

func crashes(id spoolsill.JobID) bool {
	return strings.HasPrefix(string(id), crashingPrefix)
}

// strange are entries that no worker writes.
var strange = []string{
	"\x00\xff\xfe",
	"null",
	`{"service":"work","state":"ready"}`,
	`{"service":"work","addr":"127.0.0.1:1","state":"resting","capacity":{"cpu":4000,"memMb":1024},"labels":[]}`,
	`{"service":"work","addr":"127.0.0.1:1","state":"ready","capacity":{"cpu":-4000,"memMb":1024},"labels":[]}`,
	`{"service":"work","addr":"127.0.0.1:1","state":"ready","capacity":"4 cores","labels":[]}`,
	`{"service":7,"addr":"127.0.0.1:1","state":"ready","capacity":{"cpu":4000,"memMb":1024},"labels":{}}`,
	`{"service":"elsewhere","addr":"127.0.0.1:1","zone":"z","state":"ready","capacity":{"cpu":64000,"memMb":65536},"labels":["a"]}`,
}

// A machine is what a worker's lives share.
type machine struct {
	proxy *Proxy
	life  atomic.Pointer[spoolsill.WorkerID] // that answers at its address

	mu    sync.Mutex
	entry wire.WorkerEntry // of its newest life
	lives int
	down  bool // its worker has crashed and is not back
}

// current returns the entry of the machine's newest life.
func (m *machine) current() wire.WorkerEntry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.entry
}

// crashes returns how often a worker of the machine has crashed and is back.
func (m *machine) crashes() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lives
}

// serveMachine answers for the life that the machine has.
func (x *run) serveMachine(m *machine) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		wire.WorkerHandler(x.fakes, *m.life.Load()).ServeHTTP(w, r)
	})
}

// crashed has the machine of a worker come back after a while, as another one or under
// the id that it had.
func (x *run) crashed(id spoolsill.WorkerID, lost []sched.RunID) {
	x.note("%s crashes with %d runs", id, len(lost))
	x.judge.Lost(lost)
	for _, m := range x.workers {
		if m.current().ID == id && m.goDown() {
			go x.comeBack(m, rand.New(rand.NewPCG(rand.Uint64(), 0))) //nolint:gosec // no secret
			return
		}
	}
}

// goDown takes in that the machine's worker has crashed. It reports false for one that is
// not back since the crash before.
func (m *machine) goDown() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	was := m.down
	m.down = true
	return !was
}

// crashNowAndThen has workers crash until ctx ends.
func (x *run) crashNowAndThen(ctx context.Context) {
	r := rand.New(rand.NewPCG(x.config.Seed, crashStream)) //nolint:gosec // like trouble
	for wait(ctx, between(r, 0, crashGap)) {
		x.crashSome(1 + r.IntN(len(x.workers)))
	}
}

// crashSome has some workers crash at the same moment, for no fault of a task.
func (x *run) crashSome(n int) {
	for _, m := range x.workers[:n] {
		id := m.current().ID
		x.crashed(id, x.fakes.Crash(id))
	}
}

func (x *run) comeBack(m *machine, r *rand.Rand) {
	after := []time.Duration{0, backSoon, between(r, backLeast, backMost)}[r.IntN(3)]
	if !wait(x.ctx, after) {
		return
	}
	if r.IntN(2) == 0 {
		x.startAgain(m, between(r, 0, entryLate))
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = false
	old := m.entry.ID
	m.lives++
	m.entry.ID = spoolsill.WorkerID(fmt.Sprintf("%s-%d", m.entry.Machine, m.lives))
	x.fakes.Replace(old, m.entry.ID)
	m.entry.Born = x.fakes.LifeOf(m.entry.ID).Born
	m.life.Store(&m.entry.ID)
	wire.DeleteWorker(x.store, old)
	x.list(m.entry)
	x.note("%s comes back as %s", old, m.entry.ID)
}

// startAgain has a machine's worker start again under its id, and write its entry.
func (x *run) startAgain(m *machine, late time.Duration) {
	m.mu.Lock()
	m.lives++
	m.down = false
	born := x.fakes.Restart(m.entry.ID)
	m.entry.Born = born.Born
	m.mu.Unlock()
	x.note("%s starts again", born)
	if !wait(x.ctx, late) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.entry.Born == born.Born {
		x.list(m.entry)
	}
}

// trouble has workers crash by tasks, their rooms move, and others write among their
// entries, until ctx ends; then all is as usual again.
func (x *run) trouble(ctx context.Context, hosts []string) {
	r := rand.New(rand.NewPCG(x.config.Seed, troubleStream)) //nolint:gosec // a seed is to give the same plan each time
	c := newClient(x.config.Clients+2, x.config.Seed, hosts, x.judge)
	defer c.http.CloseIdleConnections()
	var healing sync.WaitGroup
	defer healing.Wait()
	healing.Go(func() { x.crashNowAndThen(ctx) })
	for made := 0; ctx.Err() == nil; wait(ctx, between(r, 0, troubleGap)) {
		switch r.IntN(4) {
		case 0:
			if made < crashingMost {
				made++
				healing.Go(func() { c.handInCrashing(ctx, made) })
			}
		case 1:
			m := x.workers[r.IntN(len(x.workers))]
			runs, last := r.IntN(room+1), between(r, 0, movedFor)
			healing.Go(func() { x.moveRoom(ctx, m, runs, last) })
		default:
			m := x.workers[r.IntN(len(x.workers))]
			value, over, last := strange[r.IntN(len(strange))], r.IntN(3) == 0, between(r, 0, strangeFor)
			healing.Go(func() { x.writeStrange(ctx, m, value, over, last) })
		}
	}
}

// handInCrashing hands in a job of which a task crashes its workers.
func (c *client) handInCrashing(ctx context.Context, n int) {
	id := spoolsill.JobID(fmt.Sprintf("%s%07x%08x", crashingPrefix, c.name, n))
	steps := []step{
		{
			Count: 1,
			CPU:   1000,
			EstMS: 400,
		},
	}
	for range tries {
		c.judge.HandIn(id, steps)
		status, _ := c.call(ctx, http.MethodPost, queues[0]+string(id), `{"spec":"crashes","steps":[{"count":1,"cpu":1000,"estMs":400}]}`)
		c.judge.HandedIn(id, status)
		if status == http.StatusOK || refuses(status) || !wait(ctx, thinking) {
			return
		}
	}
}

// moveRoom has a machine's room be other than usual for a while.
func (x *run) moveRoom(ctx context.Context, m *machine, runs int, last time.Duration) {
	set := func(runs int) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.entry.Capacity.Processors = spoolsill.Millicores(runs) * spoolsill.Core
		x.fakes.SetRoom(m.entry.ID, runs)
		x.list(m.entry)
		x.note("%s has room for %d", m.entry.ID, runs)
	}
	set(runs)
	wait(ctx, last)
	set(room)
}

// writeStrange has someone else write among the workers' entries, or over one.
func (x *run) writeStrange(ctx context.Context, m *machine, value string, over bool, last time.Duration) {
	id := spoolsill.WorkerID("strange-" + m.current().Machine)
	if over {
		id = m.current().ID
	}
	x.note("someone else writes %s", id)
	x.store.Put(store.Put{
		Key: store.Key{
			Table: platform.WorkersTable,
			Name:  string(id),
		},
		Value: []byte(value),
	})
	wait(ctx, last)
	if !over {
		wire.DeleteWorker(x.store, id)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	x.list(m.entry)
}
