package wire

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/spoolsill/spoolsill/internal/cellfake"
	"github.com/spoolsill/spoolsill/store"
)

type row struct {
	Table string        `json:"table"`
	Part  string        `json:"part"`
	Key   string        `json:"key"`
	Value []byte        `json:"value,omitempty"`
	Ver   store.Version `json:"ver"`
	Gone  bool          `json:"gone,omitempty"`
}

func (r row) key() store.Key {
	return store.Key{
		Table:     r.Table,
		Partition: r.Part,
		Name:      r.Key,
	}
}

type rows struct {
	Rows []row         `json:"rows"`
	More bool          `json:"more"`
	Ver  store.Version `json:"ver"`
}

type transaction struct {
	ExpectedRev []row `json:"expectedRev"`
	Put         []row `json:"put"`
	Delete      []row `json:"delete"`
}

// maxEntries is the largest number of entries in a transaction.
const maxEntries = 100

// StoreHandler returns the HTTP API of a store.
func StoreHandler(s *cellfake.Store) http.Handler {
	m := chi.NewRouter()
	m.Post("/api/rows-tx", func(w http.ResponseWriter, r *http.Request) { commit(s, w, r) })
	m.Get("/api/rows-get", func(w http.ResponseWriter, r *http.Request) { listRows(s, w, r) })
	m.Get("/api/rows-feed", func(w http.ResponseWriter, r *http.Request) { feed(s, w, r) })
	m.Get("/api/rows-parts", func(w http.ResponseWriter, r *http.Request) {
		parts, err := s.Partitions(r.Context(), r.URL.Query().Get("table"))
		writeResponse(w, http.StatusOK, map[string][]string{
			"parts": parts,
		}, err)
	})
	return m
}

func commit(s *cellfake.Store, w http.ResponseWriter, r *http.Request) {
	var q transaction
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(q.ExpectedRev)+len(q.Put)+len(q.Delete) > maxEntries || !samePartition(q) {
		http.Error(w, "entries", http.StatusBadRequest)
		return
	}
	var t store.Transaction
	for _, e := range q.ExpectedRev {
		t.Conditions = append(t.Conditions, store.Condition{
			Key:     e.key(),
			Version: e.Ver,
		})
	}
	for _, e := range q.Put {
		t.Puts = append(t.Puts, store.Put{
			Key:   e.key(),
			Value: e.Value,
		})
	}
	for _, e := range q.Delete {
		t.Deletes = append(t.Deletes, e.key())
	}
	x, err := s.Commit(r.Context(), t)
	status := http.StatusOK
	if !x.Applied {
		status = http.StatusPreconditionFailed
	}
	writeResponse(w, status, rows{
		Rows: encodeRows(x.Current),
		Ver:  x.Version,
	}, err)
}

// samePartition reports whether all entries are in the same partition.
func samePartition(t transaction) bool {
	parts := map[string]bool{}
	for _, l := range [][]row{t.ExpectedRev, t.Put, t.Delete} {
		for _, e := range l {
			parts[e.Part] = true
		}
	}
	return len(parts) <= 1
}

func listRows(s *cellfake.Store, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	p, err := s.List(r.Context(), q.Get("table"), q.Get("part"), q.Get("from"), limit)
	writeResponse(w, http.StatusOK, rows{
		Rows: encodeRows(p.Rows),
		More: p.More,
		Ver:  p.Version,
	}, err)
}

func feed(s *cellfake.Store, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("afterRev"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	c, err := s.Feed(r.Context(), q.Get("table"), store.Version(after), time.Duration(wait)*time.Millisecond)
	writeResponse(w, http.StatusOK, rows{
		Rows: encodeRows(c.Rows),
		Ver:  c.Version,
	}, err)
}

func encodeRows(rs []store.Row) []row {
	out := []row{}
	for _, r := range rs {
		out = append(out, row{
			Table: r.Key.Table,
			Part:  r.Key.Partition,
			Key:   r.Key.Name,
			Value: r.Value,
			Ver:   r.Version,
			Gone:  r.Deleted,
		})
	}
	return out
}

// writeResponse writes a body, or the status for an error. An error without a
// status stands for a lost response, for which it aborts the connection.
func writeResponse(w http.ResponseWriter, status int, body any, err error) {
	switch {
	case errors.Is(err, store.ErrRefused):
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case errors.Is(err, store.ErrHistoryGone):
		w.WriteHeader(http.StatusGone)
		return
	case err != nil:
		panic(http.ErrAbortHandler)
	}
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
