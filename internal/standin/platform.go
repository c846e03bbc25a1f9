package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/go-chi/chi/v5"

	"github.com/spoolsill/spoolsill/member"
	"github.com/spoolsill/spoolsill/table"
)

// A Platform is a fake platform: it serves a table, objects and a list of
// members over HTTP. It is safe for concurrent use.
type Platform struct {
	Fault   Fault
	Table   *Table
	mu      sync.Mutex
	objects map[string][]byte
	members member.List
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{
		Table:   NewTable(),
		objects: map[string][]byte{},
	}
}

// SetMembers replaces the list of members.
func (p *Platform) SetMembers(l member.List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members = l
}

// Members returns the list of members.
func (p *Platform) Members() member.List {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members
}

// SetLeaving marks a worker or runner on the list as leaving.
func (p *Platform) SetLeaving(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := member.List{}
	for _, w := range p.members.Workers {
		w.Leaving = w.Leaving || string(w.ID) == id
		l.Workers = append(l.Workers, w)
	}
	for _, r := range p.members.Runners {
		r.Leaving = r.Leaving || string(r.ID) == id
		l.Runners = append(l.Runners, r)
	}
	p.members = l
}

// Handler returns the HTTP API of the platform.
func (p *Platform) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(p.Fault.wrap)
	r.Post("/v1/txn", p.commitTxn)
	r.Get("/v1/rows", p.listRows)
	r.Get("/v1/members", p.listMembers)
	r.Put("/v1/objects/*", p.putObject)
	r.Get("/v1/objects/*", p.getObject)
	return r
}

type wireTxn struct {
	Conditions []table.Condition `json:"conditions"`
	Puts       []table.Put       `json:"puts"`
	Deletes    []string          `json:"deletes"`
}

type wireRow struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

func wireRows(rows []table.Row) []wireRow {
	out := make([]wireRow, 0, len(rows))
	for _, r := range rows {
		out = append(out, wireRow(r))
	}
	return out
}

func (p *Platform) commitTxn(w http.ResponseWriter, r *http.Request) {
	var x wireTxn
	if err := json.NewDecoder(r.Body).Decode(&x); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	res := p.Table.Commit(table.Txn(x))
	writeJSON(w, struct {
		Applied   bool      `json:"applied"`
		Conflicts []wireRow `json:"conflicts"`
	}{
		Applied:   res.Applied,
		Conflicts: wireRows(res.Conflicts),
	})
}

func (p *Platform) listRows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	var rows []table.Row
	if k := q.Get("key"); k != "" {
		if row := p.Table.Get(k); row.Version > 0 {
			rows = []table.Row{row}
		}
	} else {
		limit, _ := strconv.Atoi(q.Get("limit"))
		rows = p.Table.List(q.Get("prefix"), q.Get("after"), limit)
	}
	writeJSON(w, struct {
		Rows []wireRow `json:"rows"`
	}{
		Rows: wireRows(rows),
	})
}

func (p *Platform) listMembers(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, p.Members())
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[chi.URLParam(r, "*")] = b
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	b, ok := p.objects[chi.URLParam(r, "*")]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(b)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
