//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the store, from PROTOCOL.md and the settings example in DEPLOY.md.
const (
	txTime      = 8 * time.Millisecond
	readTime    = 4 * time.Millisecond
	maxEntries  = 100
	maxTxBytes  = 1 << 20
	maxRowBytes = 65536
	maxPageRows = 500
	history     = 20 * time.Second
)

// A row is a row of the store, as it is sent.
type row struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	Ver   uint64 `json:"ver"`
	Gone  bool   `json:"gone,omitempty"`
}

type rowKey struct {
	table, part, key string
}

func (r row) id() rowKey {
	return rowKey{
		table: r.Table,
		part:  r.Part,
		key:   r.Key,
	}
}

type change struct {
	row row
	at  time.Time
}

// A storeFault decides what happens to a call of a host; a status other than 0 is answered at
// once, and nothing is done.
type storeFault func(host, path string) (status int)

// A platformStore is a stand-in for the platform's store. Each host has a listener of its own, so
// that the store knows who calls.
type platformStore struct {
	start time.Time

	mu       sync.Mutex
	rows     map[rowKey]row
	changes  []change
	dropped  uint64 // changes up to this version are forgotten
	version  uint64
	changed  chan struct{}
	partEnds map[string]time.Time
	fault    storeFault
	silent   bool   // feeds deliver nothing
	leader   string // the host that last wrote under a condition on the table "cell"
	refused  int    // calls answered by the fault
	rejected int    // transactions that exceed a limit
	onReject func(host string, reason string)
}

func newPlatformStore() *platformStore {
	return &platformStore{
		start:    time.Now(),
		rows:     map[rowKey]row{},
		changed:  make(chan struct{}),
		partEnds: map[string]time.Time{},
	}
}

func (s *platformStore) setFault(f storeFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

func (s *platformStore) leadingHost() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader
}

func (s *platformStore) counts() (refused, rejected int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused, s.rejected
}

// compact makes the store forget its history: feeds hear nothing for a second, in which change is
// made, then the history is dropped and they are cut.
func (s *platformStore) compact(change func()) {
	s.mu.Lock()
	s.silent = true
	s.mu.Unlock()
	change()
	time.Sleep(time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = false
	s.changes = nil
	s.dropped = s.version
	close(s.changed)
	s.changed = make(chan struct{})
}

// count returns the number of rows of a table, for the record.
func (s *platformStore) count(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for k := range s.rows {
		if k.table == table {
			n++
		}
	}
	return n
}

// put writes rows as the platform, a runner or the operator does.
func (s *platformStore) put(table, key string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyLocked([]row{{Table: table, Key: key, Value: b}}, nil)
}

func (s *platformStore) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyLocked(nil, []row{{Table: table, Key: key}})
}

func (s *platformStore) applyLocked(puts, deletes []row) {
	s.version++
	now := time.Now()
	for _, p := range puts {
		p.Ver = s.version
		s.rows[p.id()] = p
		s.changes = append(s.changes, change{row: p, at: now})
	}
	for _, d := range deletes {
		if _, ok := s.rows[d.id()]; !ok {
			continue
		}
		delete(s.rows, d.id())
		d.Value = nil
		d.Ver = s.version
		d.Gone = true
		s.changes = append(s.changes, change{row: d, at: now})
	}
	for len(s.changes) > 0 && now.Sub(s.changes[0].at) > history {
		s.dropped = s.changes[0].row.Ver
		s.changes = s.changes[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// handler returns the API as a host sees it.
func (s *platformStore) handler(host string) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /api/rows-tx", func(w http.ResponseWriter, r *http.Request) { s.transact(host, w, r) })
	m.HandleFunc("GET /api/rows-get", s.list)
	m.HandleFunc("GET /api/rows-parts", s.parts)
	m.HandleFunc("GET /api/rows-feed", s.feed)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.fault
		s.mu.Unlock()
		if f != nil {
			if status := f(host, r.URL.Path); status != 0 {
				s.mu.Lock()
				s.refused++
				s.mu.Unlock()
				w.WriteHeader(status)
				return
			}
		}
		m.ServeHTTP(w, r)
	})
}

type transaction struct {
	ExpectedRev []row `json:"expectedRev"`
	Put         []row `json:"put"`
	Delete      []row `json:"delete"`
}

// check returns why a transaction exceeds a limit, or "".
func (t transaction) check(size int64) string {
	if len(t.ExpectedRev)+len(t.Put)+len(t.Delete) > maxEntries {
		return "more than 100 entries"
	}
	if size > maxTxBytes {
		return "more than 1 MB"
	}
	parts := map[string]bool{}
	for _, l := range [][]row{t.ExpectedRev, t.Put, t.Delete} {
		for _, r := range l {
			parts[r.Part] = true
			if r.Table == "servers" {
				return "the table servers is not the system's to write"
			}
		}
	}
	for _, p := range t.Put {
		if len(p.Value) > maxRowBytes {
			return fmt.Sprintf("row %s/%s has %d bytes, row_bytes is %d", p.Table, p.Key, len(p.Value), maxRowBytes)
		}
	}
	if len(parts) > 1 {
		return "more than one part"
	}
	return ""
}

// delay returns how long a transaction in a part takes, which come in turn.
func (s *platformStore) delay(part string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	const spacing = time.Second / 150 // part_writes_per_s
	end := s.partEnds[part].Add(spacing)
	if end.Before(now.Add(txTime)) {
		end = now.Add(txTime)
	}
	s.partEnds[part] = end
	return end.Sub(now)
}

func (s *platformStore) transact(host string, w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if reason := t.check(r.ContentLength); reason != "" {
		s.mu.Lock()
		s.rejected++
		f := s.onReject
		s.mu.Unlock()
		if f != nil {
			f(host, reason)
		}
		http.Error(w, reason, http.StatusBadRequest)
		return
	}
	part := ""
	for _, l := range [][]row{t.ExpectedRev, t.Put, t.Delete} {
		if len(l) > 0 {
			part = l[0].Part
		}
	}
	time.Sleep(s.delay(part))
	s.mu.Lock()
	holds := true
	current := []row{}
	for _, c := range t.ExpectedRev {
		x, ok := s.rows[c.id()]
		if !ok {
			x = row{Table: c.Table, Part: c.Part, Key: c.Key}
		}
		current = append(current, x)
		holds = holds && x.Ver == c.Ver
	}
	status := http.StatusPreconditionFailed
	if holds {
		s.applyLocked(t.Put, t.Delete)
		current = []row{}
		status = http.StatusOK
		for _, c := range t.ExpectedRev {
			if c.Table == "cell" {
				s.leader = host
			}
		}
	}
	version := s.version
	s.mu.Unlock()
	s.write(w, status, map[string]any{
		"rows": current,
		"ver":  version,
	})
}

func (s *platformStore) list(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	var rows []row
	for k, x := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") {
			rows = append(rows, x)
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	size := 0
	n := 0
	for n < len(rows) && n < limit && (n == 0 || size+len(rows[n].Value)*4/3 < maxTxBytes) {
		size += len(rows[n].Value) * 4 / 3
		n++
	}
	s.write(w, http.StatusOK, map[string]any{
		"rows": append([]row{}, rows[:n]...),
		"more": n < len(rows),
		"ver":  version,
	})
}

func (s *platformStore) parts(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	s.mu.Lock()
	seen := map[string]bool{}
	for k := range s.rows {
		if k.table == r.URL.Query().Get("table") {
			seen[k.part] = true
		}
	}
	s.mu.Unlock()
	parts := []string{}
	for p := range seen {
		parts = append(parts, p)
	}
	sort.Strings(parts)
	s.write(w, http.StatusOK, map[string]any{
		"parts": parts,
		"more":  false,
	})
}

func (s *platformStore) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("afterRev"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	last := false
	for {
		s.mu.Lock()
		if after < s.dropped {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		rows := []row{}
		for i := range s.changes {
			if c := s.changes[i].row; c.Ver > after && c.Table == q.Get("table") {
				rows = append(rows, c)
			}
		}
		version := s.version
		changed := s.changed
		if s.silent {
			rows = []row{}
			version = after
		}
		s.mu.Unlock()
		if len(rows) > 0 || last {
			s.write(w, http.StatusOK, map[string]any{
				"rows": rows,
				"ver":  version,
			})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *platformStore) write(w http.ResponseWriter, status int, body map[string]any) {
	body["now_ms"] = time.Since(s.start).Milliseconds()
	writeJSON(w, status, body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

// serve serves h on a free port of an address and returns the address with the port.
func serve(ip string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	go func() {
		_ = (&http.Server{
			Handler:           h,
			ReadHeaderTimeout: time.Minute,
		}).Serve(l)
	}()
	return l.Addr().String(), nil
}
