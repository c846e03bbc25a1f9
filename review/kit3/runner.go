//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/standin/wire"
	"github.com/spoolsill/spoolsill/platform"
	"github.com/spoolsill/spoolsill/store"
)

const (
	// entryInterval is heartbeatMs of the settings: how often a runner writes its entry.
	entryInterval = 1500 * time.Millisecond
	// entryExpiry is three heartbeats of silence, after which the entry of a runner goes.
	entryExpiry = 3 * entryInterval
)

// A machine has one runner after another at the same address. After a crash the next one
// carries a new id.
type machine struct {
	cell    *cell
	name    string
	rack    string
	address string

	mu    sync.Mutex
	id    spoolsill.WorkerID
	lives int
	seq   int
	down  bool
}

func (c *cell) addMachine(i int) error {
	m := &machine{
		cell: c,
		name: fmt.Sprintf("m%02d", i),
		rack: fmt.Sprintf("r%d", i/4),
	}
	l, err := net.Listen("tcp", net.JoinHostPort(c.ip(100+i), "0"))
	if err != nil {
		return err
	}
	m.address = l.Addr().String()
	m.begin()
	c.serve(l, m)
	c.machines = append(c.machines, m)
	go m.beat()
	return nil
}

// begin starts the machine's next runner.
func (m *machine) begin() {
	m.mu.Lock()
	m.lives++
	m.id = spoolsill.WorkerID(fmt.Sprintf("i-%s-%d", m.name, m.lives))
	m.down = false
	m.seq = 0
	id := m.id
	m.mu.Unlock()
	m.cell.workers.Add(id)
	m.cell.record.add("runner %s begins on machine %s at %s", id, m.name, m.address)
	m.putEntry()
}

func (m *machine) current() (id spoolsill.WorkerID, down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.id, m.down
}

// crash ends the machine's runner without a word; its address is silent. The entry goes after
// three heartbeats.
func (m *machine) crash() {
	m.mu.Lock()
	id := m.id
	m.down = true
	m.mu.Unlock()
	lost := m.cell.workers.Crash(id)
	m.cell.record.add("DISRUPTION runner %s crashes with %d runs: %s", id, len(lost), runsText(lost))
	m.cell.runs.lost(lost)
	time.AfterFunc(entryExpiry, func() {
		m.cell.record.add("the entry of %s goes", id)
		wire.DeleteWorker(m.cell.store, id)
	})
}

// beat writes the entry of the current runner as long as it is up.
func (m *machine) beat() {
	for m.cell.ctx.Err() == nil {
		pause(m.cell.ctx, entryInterval)
		m.putEntry()
	}
}

func (m *machine) putEntry() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return
	}
	m.seq++
	b, err := json.Marshal(map[string]any{
		"service":    service,
		"addr":       m.address,
		"zone":       "vake",
		"version":    "v1",
		"slots":      8,
		"state":      "ready",
		"coldLeftMs": 0,
		"seq":        m.seq,
		"machine":    m.name,
		"capacity": map[string]int64{
			"cpu":   runnerCPU,
			"memMb": runnerMemMB,
			"gpu":   runnerGPUs,
		},
		"labels": []string{"a", m.rack},
	})
	if err != nil {
		panic(err)
	}
	m.cell.store.Put(store.Put{
		Key: store.Key{
			Table: platform.WorkersTable,
			Name:  string(m.id),
		},
		Value: b,
	})
}

// ServeHTTP answers for the machine's current runner. A runner that is down says nothing.
func (m *machine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, down := m.current()
	if down {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	a := &plainAnswer{
		header: http.Header{},
		status: http.StatusOK,
	}
	wire.WorkerHandler(m.cell.workers, id).ServeHTTP(a, r)
	a.writeTo(w)
}

// A plainAnswer is the answer of a runner without the start time, which the pages of small
// deployments don't have.
type plainAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (a *plainAnswer) Header() http.Header         { return a.header }
func (a *plainAnswer) WriteHeader(status int)      { a.status = status }
func (a *plainAnswer) Write(b []byte) (int, error) { return a.body.Write(b) }

func (a *plainAnswer) writeTo(w http.ResponseWriter) {
	b := a.body.Bytes()
	var fields map[string]json.RawMessage
	if json.Unmarshal(b, &fields) == nil && fields["born"] != nil {
		delete(fields, "born")
		b, _ = json.Marshal(fields)
	}
	for k, v := range a.header {
		w.Header()[k] = v
	}
	w.Header().Del("Content-Length")
	w.WriteHeader(a.status)
	_, _ = w.Write(b)
}
