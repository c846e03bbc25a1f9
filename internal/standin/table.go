package standin

import (
	"sort"
	"strings"
	"sync"

	"github.com/spoolsill/spoolsill/table"
)

// A Table is an in-memory version of the platform's transactional table. It is
// safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	rows   map[string]table.Row
	writes int
	reads  int
	bytes  int64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		rows: map[string]table.Row{},
	}
}

// Commit applies a transaction if all its conditions hold, and otherwise returns
// the conflicting rows.
func (t *Table) Commit(x table.Txn) table.Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writes++
	var conflicts []table.Row
	for _, c := range x.Conditions {
		r := t.rows[c.Key]
		if r.Version != c.Version {
			r.Key = c.Key
			conflicts = append(conflicts, r)
		}
	}
	if len(conflicts) > 0 {
		return table.Result{
			Conflicts: conflicts,
		}
	}
	for _, p := range x.Puts {
		t.bytes += int64(len(p.Key) + len(p.Value))
		t.rows[p.Key] = table.Row{
			Key:     p.Key,
			Value:   append([]byte(nil), p.Value...),
			Version: t.rows[p.Key].Version + 1,
		}
	}
	for _, k := range x.Deletes {
		delete(t.rows, k)
	}
	return table.Result{
		Applied: true,
	}
}

// Get returns a row; its version is 0 if it does not exist.
func (t *Table) Get(key string) table.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	r := t.rows[key]
	r.Key = key
	return r
}

// List returns the rows whose keys have the prefix and are greater than after, in
// ascending order of their keys. It returns at most limit rows unless limit is 0.
func (t *Table) List(prefix, after string, limit int) []table.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	var out []table.Row
	for k, r := range t.rows {
		if strings.HasPrefix(k, prefix) && k > after {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		return out[i].Key < out[j].Key
	})
	if limit > 0 && len(out) > limit {
		out = out[:limit]
	}
	return out
}

// BytesWritten returns the total size of the keys and values written so far in bytes.
func (t *Table) BytesWritten() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bytes
}

// Counts returns the number of writes and reads so far. Every transaction counts
// as a write, even if it was not applied.
func (t *Table) Counts() (writes, reads int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.writes, t.reads
}
