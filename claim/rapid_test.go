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

// A hall drives the ledgers of a home hall's hosts and several dispatchers
// that claim the same few keys again and again, over hosts that restart,
// messages that get lost and a table that is down at times.
type hall struct {
	now    time.Time
	hosts  []*claim.Ledger
	begun  []time.Time
	table  map[spoolsill.RequestKey]claim.Owner
	issued map[spoolsill.RequestKey]time.Time
	runs   map[spoolsill.RequestKey]int
	nonce  uint64
	open   []*claiming
	amnesy bool // hosts that restart forget when they did
}

// A claiming is one dispatcher on its way through the hosts.
type claiming struct {
	claim claim.Claim
	tally claim.Tally
	next  int
	row   bool
}

func newHall(n int) *hall {
	h := &hall{
		now:    time.UnixMicro(1_000_000_000),
		table:  map[spoolsill.RequestKey]claim.Owner{},
		issued: map[spoolsill.RequestKey]time.Time{},
		runs:   map[spoolsill.RequestKey]int{},
	}
	for range n {
		h.begun = append(h.begun, h.now)
		h.hosts = append(h.hosts, claim.NewLedger(claim.Config{
			Started: h.now,
		}))
	}
	h.now = h.now.Add(time.Second)
	return h
}

// begin starts a claim of one of a few keys.
func (h *hall) begin(t *rapid.T) {
	k := spoolsill.RequestKey(fmt.Sprintf("k%d", rapid.IntRange(0, 3).Draw(t, "key")))
	if _, ok := h.issued[k]; !ok {
		h.issued[k] = h.now
	}
	h.nonce++
	h.open = append(h.open, &claiming{
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

// step has one claim ask its next host, or come to its judgement.
func (h *hall) step(t *rapid.T) {
	if len(h.open) == 0 {
		return
	}
	i := rapid.IntRange(0, len(h.open)-1).Draw(t, "claim")
	c := h.open[i]
	if c.next < len(h.hosts) {
		h.ask(t, c)
		return
	}
	h.open = append(h.open[:i], h.open[i+1:]...)
	h.judge(t, c)
}

func (h *hall) ask(t *rapid.T, c *claiming) {
	l := h.hosts[c.next]
	c.next++
	lost := rapid.IntRange(0, 5).Draw(t, "lost")
	if lost == 0 {
		return
	}
	v, _ := l.Take(h.now, c.claim)
	if lost == 1 {
		return
	}
	if !c.tally.Add(v) {
		c.next = len(h.hosts)
	}
}

func (h *hall) judge(t *rapid.T, c *claiming) {
	j := c.tally.Judge()
	if j == claim.AskTable {
		j = h.askTable(t, c)
	}
	if j != claim.Dispatch {
		h.settle(t, c, spoolsill.OutcomeNotRun)
		return
	}
	switch rapid.IntRange(0, 3).Draw(t, "dispatch") {
	case 0: // given up in the queue
		if c.row {
			delete(h.table, c.claim.Key)
		}
		h.settle(t, c, spoolsill.OutcomeNotRun)
		return
	case 1: // dispatched by a host that then dies
		h.run(t, c)
	default:
		h.run(t, c)
		h.settle(t, c, spoolsill.OutcomeDone)
	}
}

func (h *hall) run(t *rapid.T, c *claiming) {
	h.runs[c.claim.Key]++
	if h.runs[c.claim.Key] > 1 {
		t.Fatalf("%s runs %d times", c.claim.Key, h.runs[c.claim.Key])
	}
}

func (h *hall) askTable(t *rapid.T, c *claiming) claim.Judgement {
	switch rapid.IntRange(0, 3).Draw(t, "table") {
	case 0:
		return claim.NoHost
	case 1: // written, and the answer is lost for good
		if _, ok := h.table[c.claim.Key]; !ok {
			h.table[c.claim.Key] = c.claim.Owner
		}
		return claim.NoHost
	default:
		if _, ok := h.table[c.claim.Key]; ok {
			return claim.Used
		}
		h.table[c.claim.Key] = c.claim.Owner
		c.row = true
		return claim.Dispatch
	}
}

func (h *hall) settle(t *rapid.T, c *claiming, o spoolsill.Outcome) {
	for _, l := range h.hosts {
		if rapid.IntRange(0, 2).Draw(t, "settle lost") == 0 {
			continue
		}
		l.Settle(c.claim.Key, c.claim.Owner, claim.Answer{
			Outcome: o,
		})
	}
}

func (h *hall) restart(t *rapid.T) {
	i := rapid.IntRange(0, len(h.hosts)-1).Draw(t, "host")
	started := h.now
	if h.amnesy {
		started = time.Time{}
	}
	h.hosts[i] = claim.NewLedger(claim.Config{
		Started: started,
	})
}

func (h *hall) pass(*rapid.T) {
	h.now = h.now.Add(time.Second)
}

func atMostOnce(amnesy bool) func(*rapid.T) {
	return func(t *rapid.T) {
		h := newHall(rapid.IntRange(1, 3).Draw(t, "hosts"))
		h.amnesy = amnesy
		t.Repeat(map[string]func(*rapid.T){
			"begin":   h.begin,
			"step":    h.step,
			"step2":   h.step,
			"step3":   h.step,
			"restart": h.restart,
			"pass":    h.pass,
		})
	}
}

func TestAKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, atMostOnce(false))
}

// TestAtMostOnceNeedsToKnowWhenAHostStarted has hosts that restarted grant
// keys that were made before.
func TestAtMostOnceNeedsToKnowWhenAHostStarted(t *testing.T) {
	qt.Assert(t, seed.Fails(t, atMostOnce(true)), qt.IsTrue)
}

func TestTheFirstOutcomeIsKept(t *testing.T) {
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
	v, _ := l.Take(now, first)
	c.Assert(v, qt.Equals, claim.Granted)
	a := claim.Answer{
		Outcome: spoolsill.OutcomeDone,
		Body:    []byte("answer"),
	}
	l.Settle("k", first.Owner, a)
	l.Settle("k", first.Owner, claim.Answer{
		Outcome: spoolsill.OutcomeNotRun,
	})
	second := first
	second.Owner.Nonce = 2
	v, got := l.Take(now.Add(time.Second), second)
	c.Assert(v, qt.Equals, claim.Taken)
	c.Assert(got, qt.DeepEquals, a)
	v, _ = l.Take(now.Add(claim.DefaultKeep+time.Second), second)
	c.Assert(v, qt.Equals, claim.TooOld)
	c.Assert(l.Len(), qt.Equals, 0)
}
