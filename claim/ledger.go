package claim

import (
	"time"

	"github.com/spoolsill/spoolsill"
)

// Defaults of [Config].
const (
	DefaultKeep       = 10 * time.Minute
	DefaultMaxEntries = 200_000
)

// A Config describes a [Ledger].
type Config struct {
	// Started is the start time of the process. Keys created before it may
	// have been claimed from the previous process of the host, whose ledger
	// is lost.
	Started time.Time
	// Keep is how long a claim is retained. Keys created longer ago cannot be
	// claimed.
	Keep time.Duration
	// MaxEntries is the maximum number of retained claims. While it is reached,
	// new claims get the verdict [Full].
	MaxEntries int
	// Skew is the maximum clock error of a caller or another host that is
	// tolerated.
	Skew time.Duration
}

// An Owner identifies the dispatch that claimed a key. Incarnation distinguishes
// the processes that ran on the same host, Nonce the dispatches of one process.
type Owner struct {
	Host        spoolsill.HostID      `msgpack:"h"`
	Incarnation spoolsill.Incarnation `msgpack:"l"`
	Nonce       uint64                `msgpack:"n"`
}

// A Result is the result of a claimed request. Body is set only for
// [spoolsill.OutcomeDone], and only if it is no longer than [MaxBody].
type Result struct {
	Outcome spoolsill.Outcome `msgpack:"o"`
	Status  int               `msgpack:"s"`
	Type    string            `msgpack:"t"`
	Body    []byte            `msgpack:"b"`
}

// MaxBody is the maximum length in bytes of a response body that is retained.
const MaxBody = 4 << 10

// A Verdict is the response of one host to a claim.
type Verdict int

// Verdicts.
const (
	// Granted means that the key was unused and is now claimed for the owner.
	Granted Verdict = iota + 1
	// Taken means that another request with the key was, or may have been,
	// dispatched. The [Result] is that request's, if known.
	Taken
	// Uncertain means that this host cannot tell whether the key was used.
	Uncertain
	// Expired means that the key was created longer ago than claims are
	// retained.
	Expired
	// Full means that the ledger has reached its maximum number of claims.
	Full
)

// An entry is a retained claim.
type entry struct {
	owner     Owner
	claimedAt time.Time
	result    Result
	// uncertain is set if the key may have been created before this process
	// started. The previous process of the host may have granted it, so it
	// remains set when the key passes to another owner.
	uncertain bool
}

// verdict returns the verdict for the owner of e.
func (e *entry) verdict() Verdict {
	if e.uncertain {
		return Uncertain
	}
	return Granted
}

// A Ledger holds the claims known to one host. It is not safe for concurrent
// use.
type Ledger struct {
	config  Config
	entries map[spoolsill.RequestKey]*entry
	queue   []spoolsill.RequestKey // the keys of entries, oldest claim first
}

// NewLedger returns an empty ledger.
func NewLedger(c Config) *Ledger {
	if c.Keep == 0 {
		c.Keep = DefaultKeep
	}
	if c.MaxEntries == 0 {
		c.MaxEntries = DefaultMaxEntries
	}
	return &Ledger{
		config:  c,
		entries: map[spoolsill.RequestKey]*entry{},
	}
}

// A Claim is a request for exclusive use of a key.
type Claim struct {
	Key    spoolsill.RequestKey `msgpack:"k"`
	Owner  Owner                `msgpack:"o"`
	Issued time.Time            `msgpack:"i"` // when the caller created the key
}

// Acquire claims a key for an owner. Claiming is idempotent: the same owner is
// granted the key again until the result is recorded. A claim with the verdict
// [Uncertain] is recorded too, so that no other owner is granted the key later.
func (l *Ledger) Acquire(now time.Time, c Claim) (Verdict, Result) {
	l.expire(now)
	if e, ok := l.entries[c.Key]; ok {
		if e.owner == c.Owner && e.result.Outcome == "" {
			return e.verdict(), Result{}
		}
		return l.claimTaken(c, e)
	}
	if now.Sub(c.Issued) > l.config.Keep {
		return Expired, Result{}
	}
	if len(l.entries) >= l.config.MaxEntries {
		return Full, Result{}
	}
	return l.add(now, c).verdict(), Result{}
}

// claimTaken handles a claim of a key that is already claimed. If the previous
// request did not run, the key passes to the new owner.
func (l *Ledger) claimTaken(c Claim, e *entry) (Verdict, Result) {
	if e.result.Outcome == spoolsill.OutcomeNotRun {
		e.owner = c.Owner
		e.result = Result{}
		return e.verdict(), Result{}
	}
	return Taken, e.result
}

// add adds an entry for a key that has none.
func (l *Ledger) add(now time.Time, c Claim) *entry {
	e := &entry{
		owner:     c.Owner,
		claimedAt: now,
		uncertain: !c.Issued.Add(-l.config.Skew).After(l.config.Started),
	}
	l.entries[c.Key] = e
	l.queue = append(l.queue, c.Key)
	return e
}

// RecordResult records the result of a claimed request. It ignores results
// from anyone but the owner of the claim, and all but the first result.
func (l *Ledger) RecordResult(k spoolsill.RequestKey, o Owner, r Result) {
	e, ok := l.entries[k]
	if !ok || e.owner != o || e.result.Outcome != "" {
		return
	}
	if len(r.Body) > MaxBody {
		r.Body = nil
	}
	e.result = r
}

// Len returns the number of retained claims.
func (l *Ledger) Len() int {
	return len(l.entries)
}

// expire removes the claims that are older than Keep, plus the tolerated clock
// error. Their keys are too old to be claimed again.
func (l *Ledger) expire(now time.Time) {
	for len(l.queue) > 0 {
		k := l.queue[0]
		e := l.entries[k]
		if now.Sub(e.claimedAt) <= l.config.Keep+l.config.Skew {
			return
		}
		delete(l.entries, k)
		l.queue = l.queue[1:]
	}
}
