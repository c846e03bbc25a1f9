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
	halls map[spoolsill.HallID]bool
	// publishMu is held while the halls are read and passed on, so that the newest come last.
	publishMu sync.Mutex
}

// list replaces the halls by those of a listing of the operators' table.
func (t *evacuationTracker) list(rows []store.Row) {
	t.mu.Lock()
	t.halls = map[spoolsill.HallID]bool{}
	t.mu.Unlock()
	for _, r := range rows {
		t.apply(r)
	}
}

// apply applies a row of the operators' table and reports whether it concerns an evacuation.
func (t *evacuationTracker) apply(r store.Row) bool {
	h, ok := platform.EvacuatedHall(r.Key.Name)
	if !ok {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.halls == nil {
		t.halls = map[spoolsill.HallID]bool{}
	}
	if r.Deleted {
		delete(t.halls, h)
	} else {
		t.halls[h] = true
	}
	return true
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
