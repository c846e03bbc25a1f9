package node

import (
	"sync"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/leader"
	"github.com/spoolsill/spoolsill/peer"
)

// A targetNumber identifies a target in the calls of one leadership.
type targetNumber uint32

// A groupTarget is what a target number stands for.
type groupTarget struct {
	incarnation spoolsill.WorkerIncarnation
	address     string
	fence       spoolsill.Epoch
}

// A targetNumbers numbers the targets of a leadership, and records which of them each delegate
// knows. It is safe for concurrent use.
type targetNumbers struct {
	mu      sync.Mutex
	epoch   spoolsill.Epoch
	numbers map[groupTarget]targetNumber
	known   map[spoolsill.HostID]map[targetNumber]bool
}

// begin forgets all numbers, for the leadership that begins.
func (t *targetNumbers) begin(e spoolsill.Epoch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.epoch = e
	t.numbers = map[groupTarget]targetNumber{}
	t.known = map[spoolsill.HostID]map[targetNumber]bool{}
}

// request returns the request for a group of renewals, with the targets that the delegate does
// not know.
func (t *targetNumbers) request(h spoolsill.HostID, rs []leader.Renewal) renewGroupRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := renewGroupRequest{
		Epoch:  t.epoch,
		Items:  make([]renewGroupItem, len(rs)),
		Within: rs[0].Timeout,
	}
	for i, r := range rs {
		g := groupTarget{
			incarnation: r.WorkerIncarnation,
			address:     r.Address,
			fence:       r.Fence,
		}
		n, ok := t.numbers[g]
		if !ok {
			n = targetNumber(len(t.numbers) + 1)
			t.numbers[g] = n
		}
		if !t.known[h][n] {
			q.Targets = append(q.Targets, numberedTarget{
				Number: n,
				Target: targetOf(r.Target, r.Fence),
				Born:   r.StartTime,
			})
		}
		q.Items[i] = renewGroupItem{
			Number:   n,
			Deadline: r.Deadline,
			LastSeen: r.LastAcked,
		}
	}
	return q
}

// learned records that a delegate has received the targets of a request.
func (t *targetNumbers) learned(h spoolsill.HostID, q renewGroupRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.known[h] == nil {
		t.known[h] = map[targetNumber]bool{}
	}
	for _, n := range q.Targets {
		t.known[h][n.Number] = true
	}
}

// forget records that a delegate does not know the targets that it was sent.
func (t *targetNumbers) forget(h spoolsill.HostID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.known, h)
}

// A groupTargets has the targets that a leader has sent to this host, its delegate. It is safe
// for concurrent use.
type groupTargets struct {
	mu      sync.Mutex
	caller  peer.Caller
	epoch   spoolsill.Epoch
	targets map[targetNumber]numberedTarget
}

// resolve records the targets of a request and returns those of its items, in their order. It
// reports false if one of them is not known.
func (t *groupTargets) resolve(c peer.Caller, q renewGroupRequest) ([]numberedTarget, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.caller != c || t.epoch != q.Epoch {
		t.caller = c
		t.epoch = q.Epoch
		t.targets = map[targetNumber]numberedTarget{}
	}
	for _, n := range q.Targets {
		t.targets[n.Number] = n
	}
	targets := make([]numberedTarget, len(q.Items))
	for i, x := range q.Items {
		n, ok := t.targets[x.Number]
		if !ok {
			return nil, false
		}
		targets[i] = n
	}
	return targets, true
}
