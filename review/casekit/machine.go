//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/cellfake"
	"github.com/spoolsill/spoolsill/internal/standin/wire"
)

const (
	// entryInterval is heartbeatMs: how often a worker writes its entry. The entry disappears
	// after three intervals without a write.
	entryInterval = 1500 * time.Millisecond
	entryLifetime = 3 * entryInterval
	// machineCores is the capacity of a worker. Each task needs one core.
	machineCores = 8
)

// A machine runs one worker after another at the same address. After a crash the next
// worker has a new id.
type machine struct {
	name    string
	address string
	store   *cellfake.Store
	workers *cellfake.Workers
	record  *record

	mu        sync.Mutex
	id        spoolsill.WorkerID // of the current worker
	lives     int
	up        bool
	lastWrite time.Time // of the entry of the current worker
}

// startMachine starts the first worker of a machine.
func startMachine(ctx context.Context, name string, s *cellfake.Store, ws *cellfake.Workers, r *record) (*machine, error) {
	m := &machine{
		name:    name,
		store:   s,
		workers: ws,
		record:  r,
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m.address = l.Addr().String()
	serve(ctx, l, m)
	m.startLife()
	go m.writeEntries(ctx)
	return m, nil
}

// startLife starts a worker with a new id and writes its entry.
func (m *machine) startLife() {
	m.mu.Lock()
	defer m.mu.Unlock()
	former := m.id
	m.lives++
	m.id = spoolsill.WorkerID(fmt.Sprintf("i-%s%02d", m.name, m.lives))
	m.up = true
	if former == "" {
		m.workers.Add(m.id)
	} else {
		m.workers.Replace(former, m.id)
	}
	m.record.add("machine %s: worker %s starts", m.name, m.id)
	m.writeEntryLocked()
}

// crash ends the current worker. Nothing answers at its address, and its entry disappears
// when it was last written entryLifetime ago.
func (m *machine) crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writeEntryLocked() // its last heartbeat
	m.up = false
	id := m.id
	lost := m.workers.Crash(id)
	m.record.add("machine %s: worker %s crashes with %d runs: %v", m.name, id, len(lost), lost)
	time.AfterFunc(time.Until(m.lastWrite.Add(entryLifetime)), func() {
		m.record.add("store: the entry of %s has lapsed", id)
		wire.DeleteWorker(m.store, id)
	})
}

func (m *machine) writeEntryLocked() {
	m.lastWrite = time.Now()
	// An error is impossible: the entry can always be encoded.
	_ = wire.PutWorker(m.store, wire.WorkerEntry{
		ID:      m.id,
		Address: m.address,
		Hall:    "espoo-a",
		Machine: m.name,
		Rack:    "r1-1",
		Capacity: spoolsill.Resources{
			Processors: machineCores * spoolsill.Core,
			Memory:     64 * spoolsill.GiB,
		},
	})
}

func (m *machine) writeEntries(ctx context.Context) {
	t := time.NewTicker(entryInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		m.mu.Lock()
		if m.up {
			m.writeEntryLocked()
		}
		m.mu.Unlock()
	}
}

// ServeHTTP serves the current worker. A crashed one is silent.
func (m *machine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	id, up := m.id, m.up
	m.mu.Unlock()
	if !up {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	h := wire.WorkerHandler(m.workers, id)
	if r.URL.Path != "/api/hold" {
		h.ServeHTTP(w, r)
		return
	}
	// Workers of this deployment don't tell when they started.
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, r)
	b := rec.Body.Bytes()
	var answer map[string]json.RawMessage
	if rec.Code == http.StatusOK && json.Unmarshal(b, &answer) == nil {
		delete(answer, "born")
		b, _ = json.Marshal(answer)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(rec.Code)
	_, _ = bytes.NewReader(b).WriteTo(w)
}

// serve serves h at l until ctx ends.
func serve(ctx context.Context, l net.Listener, h http.Handler) {
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: time.Minute,
	}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	go func() { _ = s.Serve(l) }()
}
