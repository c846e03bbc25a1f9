package claim

import (
	"time"

	"github.com/spoolsill/spoolsill"
)

// Defaults of [Config].
const (
	DefaultKeep    = 10 * time.Minute
	DefaultEntries = 200_000
)

// A Config describes a [Ledger].
type Config struct {
	// Started is when the process started. Keys made before are not known to
	// be unused.
	Started time.Time
	// Keep is how long a claim is remembered. A key that is older is refused.
	Keep time.Duration
	// Entries bounds the claims remembered; further ones are refused.
	Entries int
	// Skew is how far the clock of a caller, or of another host, may be off.
	Skew time.Duration
}

// An Owner says who claimed a key: one dispatch of one life of a host.
type Owner struct {
	Host  spoolsill.HostID      `msgpack:"h"`
	Life  spoolsill.Incarnation `msgpack:"l"`
	Nonce uint64                `msgpack:"n"`
}

// An Answer is what became of a claimed request. Body is set only with
// outcome done, and only when it is short enough to keep.
type Answer struct {
	Outcome spoolsill.Outcome `msgpack:"o"`
	Status  int               `msgpack:"s"`
	Type    string            `msgpack:"t"`
	Body    []byte            `msgpack:"b"`
}

// MaxBody is the length in bytes of the longest answer that is kept.
const MaxBody = 4 << 10

// Verdict answers a claim.
type Verdict int

// The verdicts.
const (
	// Granted says that the key was unused: the owner may dispatch.
	Granted Verdict = iota + 1
	// Taken says that another request with the key was dispatched, or may
	// have been. Answer tells what became of it.
	Taken
	// Unsure says that this host can't know whether the key was used.
	Unsure
	// TooOld says that the key was made longer ago than claims are kept.
	TooOld
	// Full says that no more claims can be remembered now.
	Full
)

type entry struct {
	owner  Owner
	at     time.Time
	answer Answer
	// unsure says that the key was made before this host started: it may
	// have been claimed in an earlier life, whatever became of this claim.
	unsure bool
}

// grant returns the verdict for the owner of e.
func (e *entry) grant() Verdict {
	if e.unsure {
		return Unsure
	}
	return Granted
}

// A Ledger is what one host remembers of claimed keys. It is not safe for
// concurrent use.
type Ledger struct {
	config  Config
	entries map[spoolsill.RequestKey]*entry
	queue   []spoolsill.RequestKey // oldest first
}

// NewLedger returns an empty ledger.
func NewLedger(c Config) *Ledger {
	if c.Keep == 0 {
		c.Keep = DefaultKeep
	}
	if c.Entries == 0 {
		c.Entries = DefaultEntries
	}
	return &Ledger{
		config:  c,
		entries: map[spoolsill.RequestKey]*entry{},
	}
}

// A Claim asks for a key.
type Claim struct {
	Key    spoolsill.RequestKey `msgpack:"k"`
	Owner  Owner                `msgpack:"o"`
	Issued time.Time            `msgpack:"i"` // when the caller made the key
}

// Take claims a key for an owner. The same owner asking again is granted
// again. Unsure comes with the claim recorded, so that nobody is granted the
// key after it.
func (l *Ledger) Take(now time.Time, c Claim) (Verdict, Answer) {
	l.forget(now)
	if e, ok := l.entries[c.Key]; ok {
		if e.owner == c.Owner && e.answer.Outcome == "" {
			return e.grant(), Answer{}
		}
		return l.taken(c, e)
	}
	if now.Sub(c.Issued) > l.config.Keep {
		return TooOld, Answer{}
	}
	if len(l.entries) >= l.config.Entries {
		return Full, Answer{}
	}
	return l.add(now, c).grant(), Answer{}
}

// taken answers a claim of a key that is known. A request that certainly did
// not run gives its key free for the next one.
func (l *Ledger) taken(c Claim, e *entry) (Verdict, Answer) {
	if e.answer.Outcome == spoolsill.OutcomeNotRun {
		e.owner = c.Owner
		e.answer = Answer{}
		return e.grant(), Answer{}
	}
	return Taken, e.answer
}

func (l *Ledger) add(now time.Time, c Claim) *entry {
	e := &entry{
		owner:  c.Owner,
		at:     now,
		unsure: !c.Issued.Add(-l.config.Skew).After(l.config.Started),
	}
	l.entries[c.Key] = e
	l.queue = append(l.queue, c.Key)
	return e
}

// Settle records what became of a claimed request. Only its owner's word
// counts, and only the first.
func (l *Ledger) Settle(k spoolsill.RequestKey, o Owner, a Answer) {
	e, ok := l.entries[k]
	if !ok || e.owner != o || e.answer.Outcome != "" {
		return
	}
	if len(a.Body) > MaxBody {
		a.Body = nil
	}
	e.answer = a
}

// Len returns the number of claims remembered.
func (l *Ledger) Len() int {
	return len(l.entries)
}

// forget drops claims that are older than keys may be.
func (l *Ledger) forget(now time.Time) {
	for len(l.queue) > 0 {
		k := l.queue[0]
		e := l.entries[k]
		if now.Sub(e.at) <= l.config.Keep+l.config.Skew {
			return
		}
		delete(l.entries, k)
		l.queue = l.queue[1:]
	}
}
