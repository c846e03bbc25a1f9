package claim_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/claim"
	"github.com/spoolsill/spoolsill/internal/seed"
)

// A hallModel is a model of a home hall: the ledgers of its hosts, and
// dispatchers that concurrently claim a small set of keys. Hosts restart,
// messages are lost and the table is temporarily unavailable.
type hallModel struct {
	now         time.Time
	hosts       []*claim.Ledger
	startedAt   []time.Time
	table       map[spoolsill.RequestKey]claim.Owner
	issued      map[spoolsill.RequestKey]time.Time
	runs        map[spoolsill.RequestKey]int
	nonce       uint64
	pending     []*pendingClaim
	forgetStart bool // the ledgers of restarted hosts get no start time
}

// A pendingClaim is a claim whose dispatcher is querying the hosts in order.
type pendingClaim struct {
	claim  claim.Claim
	tally  claim.Tally
	next   int  // index of the next host to query
	hasRow bool // the claim's row is in the table
}

func newHallModel(n int) *hallModel {
	h := &hallModel{
		now:    time.UnixMicro(1_000_000_000),
		table:  map[spoolsill.RequestKey]claim.Owner{},
		issued: map[spoolsill.RequestKey]time.Time{},
		runs:   map[spoolsill.RequestKey]int{},
	}
	for range n {
		h.startedAt = append(h.startedAt, h.now)
		h.hosts = append(h.hosts, claim.NewLedger(claim.Config{
			Started: h.now,
		}))
	}
	h.now = h.now.Add(time.Second)
	return h
}

// startClaim starts a claim of a random key.
func (h *hallModel) startClaim(t *rapid.T) {
	k := spoolsill.RequestKey(fmt.Sprintf("k%d", rapid.IntRange(0, 3).Draw(t, "key")))
	if _, ok := h.issued[k]; !ok {
		h.issued[k] = h.now
	}
	h.nonce++
	h.pending = append(h.pending, &pendingClaim{
		claim: claim.Claim{
			Key:    k,
			Issued: h.issued[k],
			Owner: claim.Owner{
				Host:  "d",
				Nonce: h.nonce,
			},
		},
		tally: claim.Tally{
			Hosts: len(h.hosts),
		},
	})
}

// advanceClaim advances a random claim: it queries the next host, or concludes
// the claim if all hosts have been queried.
func (h *hallModel) advanceClaim(t *rapid.T) {
	if len(h.pending) == 0 {
		return
	}
	i := rapid.IntRange(0, len(h.pending)-1).Draw(t, "claim")
	c := h.pending[i]
	if c.next < len(h.hosts) {
		h.queryHost(t, c)
		return
	}
	h.pending = append(h.pending[:i], h.pending[i+1:]...)
	h.concludeClaim(t, c)
}

// queryHost sends a claim to the next host. Either the claim or the host's
// response may be lost.
func (h *hallModel) queryHost(t *rapid.T, c *pendingClaim) {
	l := h.hosts[c.next]
	c.next++
	lost := rapid.IntRange(0, 5).Draw(t, "lost")
	if lost == 0 {
		return
	}
	v, _ := l.Acquire(h.now, c.claim)
	if lost == 1 {
		return
	}
	if !c.tally.Add(v) {
		c.next = len(h.hosts)
	}
}

func (h *hallModel) concludeClaim(t *rapid.T, c *pendingClaim) {
	d := c.tally.Decide()
	if d == claim.AskTable {
		d = h.claimInTable(t, c)
	}
	if d != claim.Dispatch {
		h.recordResult(t, c, spoolsill.OutcomeNotRun)
		return
	}
	switch rapid.IntRange(0, 3).Draw(t, "dispatch") {
	case 0: // abandoned before dispatch
		if c.hasRow {
			delete(h.table, c.claim.Key)
		}
		h.recordResult(t, c, spoolsill.OutcomeNotRun)
		return
	case 1: // the host crashes after the dispatch
		h.run(t, c)
	default:
		h.run(t, c)
		h.recordResult(t, c, spoolsill.OutcomeDone)
	}
}

// run runs a request. It fails the test if one with the same key has run before.
func (h *hallModel) run(t *rapid.T, c *pendingClaim) {
	h.runs[c.claim.Key]++
	if h.runs[c.claim.Key] > 1 {
		t.Fatalf("%s runs %d times", c.claim.Key, h.runs[c.claim.Key])
	}
}

func (h *hallModel) claimInTable(t *rapid.T, c *pendingClaim) claim.Decision {
	switch rapid.IntRange(0, 3).Draw(t, "table") {
	case 0:
		return claim.NotRecorded
	case 1: // written, but the response is lost
		if _, ok := h.table[c.claim.Key]; !ok {
			h.table[c.claim.Key] = c.claim.Owner
		}
		return claim.NotRecorded
	default:
		if _, ok := h.table[c.claim.Key]; ok {
			return claim.KeyUsed
		}
		h.table[c.claim.Key] = c.claim.Owner
		c.hasRow = true
		return claim.Dispatch
	}
}

// recordResult sends the result of a claim to all hosts. Any of the messages may
// be lost.
func (h *hallModel) recordResult(t *rapid.T, c *pendingClaim, o spoolsill.Outcome) {
	for _, l := range h.hosts {
		if rapid.IntRange(0, 2).Draw(t, "result lost") == 0 {
			continue
		}
		l.RecordResult(c.claim.Key, c.claim.Owner, claim.Result{
			Outcome: o,
		})
	}
}

func (h *hallModel) restart(t *rapid.T) {
	i := rapid.IntRange(0, len(h.hosts)-1).Draw(t, "host")
	started := h.now
	if h.forgetStart {
		started = time.Time{}
	}
	h.hosts[i] = claim.NewLedger(claim.Config{
		Started: started,
	})
}

func (h *hallModel) advanceClock(*rapid.T) {
	h.now = h.now.Add(time.Second)
}

// atMostOnce returns the property that no key is dispatched twice.
func atMostOnce(forgetStart bool) func(*rapid.T) {
	return func(t *rapid.T) {
		h := newHallModel(rapid.IntRange(1, 3).Draw(t, "hosts"))
		h.forgetStart = forgetStart
		t.Repeat(map[string]func(*rapid.T){
			"begin":   h.startClaim,
			"step":    h.advanceClaim,
			"step2":   h.advanceClaim,
			"step3":   h.advanceClaim,
			"restart": h.restart,
			"pass":    h.advanceClock,
		})
	}
}

func TestAKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, atMostOnce(false))
}

// TestAtMostOnceFailsIfHostsForgetTheirStart lets restarted hosts grant keys
// that were created before the restart. The property must then be violated.
func TestAtMostOnceFailsIfHostsForgetTheirStart(t *testing.T) {
	qt.Assert(t, seed.FindsFailure(t, atMostOnce(true)), qt.IsTrue)
}

func TestFirstResultIsKept(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMicro(1_000_000_000)
	l := claim.NewLedger(claim.Config{
		Started: now,
	})
	now = now.Add(time.Minute)
	first := claim.Claim{
		Key:    "k",
		Issued: now,
		Owner: claim.Owner{
			Nonce: 1,
		},
	}
	v, _ := l.Acquire(now, first)
	c.Assert(v, qt.Equals, claim.Granted)
	a := claim.Result{
		Outcome: spoolsill.OutcomeDone,
		Body:    []byte("answer"),
	}
	l.RecordResult("k", first.Owner, a)
	l.RecordResult("k", first.Owner, claim.Result{
		Outcome: spoolsill.OutcomeNotRun,
	})
	second := first
	second.Owner.Nonce = 2
	v, got := l.Acquire(now.Add(time.Second), second)
	c.Assert(v, qt.Equals, claim.Taken)
	c.Assert(got, qt.DeepEquals, a)
	v, _ = l.Acquire(now.Add(claim.DefaultKeep+time.Second), second)
	c.Assert(v, qt.Equals, claim.Expired)
	c.Assert(l.Len(), qt.Equals, 0)
}
