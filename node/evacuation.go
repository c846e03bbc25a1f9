package node

import (
	"maps"
	"slices"
	"sync"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/platform"
	"github.com/spoolsill/spoolsill/store"
)

// An evacuationTracker holds the halls that the operators evacuate. It is safe for concurrent
// use. The zero value has none.
type evacuationTracker struct {
	mu    sync.Mutex
	halls map[spoolsill.HallID]bool // nil before the first listing
	// publishMu is held while the halls are read and passed on, so that the newest come last.
	publishMu sync.Mutex
}

// list replaces the halls by those of a listing of the operators' table.
func (t *evacuationTracker) list(rows []store.Row) {
	halls := map[spoolsill.HallID]bool{}
	for _, r := range rows {
		if h, ok := platform.EvacuatedHall(r.Key.Name); ok && !r.Deleted {
			halls[h] = true
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.halls = halls
}

// apply applies a changed row of the operators' table, which has been listed before, and reports
// whether it concerns an evacuation.
func (t *evacuationTracker) apply(r store.Row) bool {
	h, ok := platform.EvacuatedHall(r.Key.Name)
	if !ok {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Deleted {
		delete(t.halls, h)
	} else {
		t.halls[h] = true
	}
	return true
}

// listed reports whether the table has been listed.
func (t *evacuationTracker) listed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.halls != nil
}

func (t *evacuationTracker) get() []spoolsill.HallID {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.halls))
}

// applyEvacuations passes the evacuated halls to the leader, if this host leads.
func (n *Node) applyEvacuations() {
	n.evacuations.publishMu.Lock()
	defer n.evacuations.publishMu.Unlock()
	if l := n.localLeader(); l != nil {
		l.SetEvacuated(n.evacuations.get())
	}
}
