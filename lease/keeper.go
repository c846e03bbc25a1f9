package lease

import (
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/zero"
)

// Defaults of [Config].
const (
	DefaultDuration  = 5 * time.Second
	DefaultRenew     = 1500 * time.Millisecond
	DefaultPoll      = time.Second
	DefaultMargin    = 500 * time.Millisecond
	DefaultPromise   = 4 * time.Second
	DefaultExtension = 15 * time.Minute
)

// A Config describes a [Keeper].
type Config struct {
	Host        spoolsill.HostID
	Incarnation spoolsill.Incarnation
	// Hosts are the entry hosts of the hall, this one included.
	Hosts []spoolsill.HostID
	// Duration is how long the lease lasts from before it was asked for.
	Duration time.Duration
	// Renew is the time between two renewals, Poll the one between two looks
	// at another's lease.
	Renew time.Duration
	Poll  time.Duration
	// Margin is what others wait beyond Duration.
	Margin time.Duration
	// Promise is how long a promise lasts.
	Promise time.Duration
	// Extension bounds how long promises carry a lease without the table. A
	// host that is not on the roster waits longer than that.
	Extension time.Duration
	// Join is how long after the start the lease is not taken from another
	// before [Keeper.Joined]; 0 does not wait.
	Join time.Duration
	// NoPromises takes the lease for held without promises when the table is
	// silent. It breaks the promises of the project; tests use it to show so.
	NoPromises bool
}

func (c Config) withDefaults() Config {
	zero.Default(&c.Duration, DefaultDuration)
	zero.Default(&c.Renew, DefaultRenew)
	zero.Default(&c.Poll, DefaultPoll)
	zero.Default(&c.Margin, DefaultMargin)
	zero.Default(&c.Promise, DefaultPromise)
	zero.Default(&c.Extension, DefaultExtension)
	return c
}

// A Reading is one look at two clocks. Mono is the time since the process
// started, on a clock that never jumps but may stand still while the machine
// sleeps; Wall is the time of day, which jumps but does not stand still.
type Reading struct {
	Wall time.Time
	Mono time.Duration
}

// Since returns the time from o to r, the longer one of the two clocks.
func (r Reading) Since(o Reading) time.Duration {
	return max(r.Mono-o.Mono, r.Wall.Sub(o.Wall))
}

// surely returns the time from o to r that has passed for certain: the
// clock that never jumps decides.
func (r Reading) surely(o Reading) time.Duration {
	return r.Mono - o.Mono
}

// ActionKind tells actions apart.
type ActionKind int

// The kinds of actions.
const (
	None  ActionKind = iota
	Read             // read the row
	Write            // write Row if the row's version is Version
	Ask              // ask the other hosts of the roster for a promise
)

// An Action is what the caller of [Keeper.Next] has to do.
type Action struct {
	Kind    ActionKind
	Row     Row
	Version uint64
	// Takeover says that the write changes the holder: the epoch row is
	// written with it.
	Takeover bool
}

// A Keeper keeps the lease of a hall for one host.
type Keeper struct {
	config  Config
	started Reading

	row     Row // as last seen or written
	version uint64
	known   bool    // the row was read since the start or since a lost write
	since   Reading // when the row was first seen in this state
	looked  Reading // when the last read or write was begun
	busy    bool    // a read or write is under way
	wrote   *attempt
	beat    uint64 // of the last write

	held     bool
	epoch    spoolsill.Epoch
	from     Reading // held from before this was asked
	table    Reading // the last renewal that the table confirmed
	asked    Reading // the last asking for promises
	everAsk  bool
	promises map[spoolsill.HostID]Reading // from before they were asked for
	promised Reading                      // when this host gave its last promise
	bound    bool                         // promised is set
	release  bool
	joined   bool
}

// An attempt is a write whose outcome is not known yet.
type attempt struct {
	row      Row
	asked    Reading
	takeover bool
}

// NewKeeper returns a keeper that knows nothing yet.
func NewKeeper(c Config, now Reading) *Keeper {
	return &Keeper{
		config:   c.withDefaults(),
		started:  now,
		promises: map[spoolsill.HostID]Reading{},
	}
}

// Holds reports whether the host holds the lease at now, and its epoch. It is
// asked again right before each act.
func (k *Keeper) Holds(now Reading) (spoolsill.Epoch, bool) {
	if !k.held || k.release {
		return 0, false
	}
	if now.Since(k.from) < k.config.Duration {
		return k.epoch, true
	}
	return k.epoch, k.carried(now)
}

// Tenure returns the epoch that the host holds or held last, and whether no
// other host is known to have taken the lease over since. Unlike [Holds] it
// does not say that the host may act.
func (k *Keeper) Tenure() (spoolsill.Epoch, bool) {
	return k.epoch, k.held
}

// Epoch returns the epoch that the host last held, or saw.
func (k *Keeper) Epoch() spoolsill.Epoch {
	return k.row.Epoch
}

// Holder returns the host that was last seen to hold the lease.
func (k *Keeper) Holder() (spoolsill.HostID, bool) {
	if !k.known || k.row.Released {
		return "", false
	}
	return k.row.Holder, true
}

// carried reports whether promises carry the lease past its end.
func (k *Keeper) carried(now Reading) bool {
	if k.config.NoPromises {
		return true
	}
	if now.Since(k.table) >= k.config.Extension {
		return false
	}
	for _, h := range k.row.Roster {
		if h == k.config.Host {
			continue
		}
		p, ok := k.promises[h]
		if !ok || now.Since(p) >= k.config.Promise {
			return false
		}
	}
	return true
}

// Next returns what to do at now. After a Read or Write it returns neither
// until ReadDone or WriteDone is called.
func (k *Keeper) Next(now Reading) Action {
	if k.dueToAsk(now) {
		k.asked = now
		k.everAsk = true
		return Action{
			Kind: Ask,
			Row:  k.row,
		}
	}
	if k.busy {
		return Action{}
	}
	a := k.next(now)
	if a.Kind == None {
		return a
	}
	k.busy = true
	k.looked = now
	if a.Kind == Write {
		k.wrote = &attempt{
			row:      a.Row,
			asked:    now,
			takeover: a.Takeover,
		}
	}
	return a
}

func (k *Keeper) next(now Reading) Action {
	switch {
	case k.wrote != nil, !k.known:
		return k.readWhenDue(now)
	case k.held && k.release:
		return k.write(k.releasedRow(), false)
	case k.held && now.surely(k.looked) >= k.config.Renew:
		return k.write(k.renewedRow(), false)
	case k.held:
		return Action{}
	case k.mayTake(now):
		return k.write(k.takenRow(), true)
	default:
		return k.readWhenDue(now)
	}
}

func (k *Keeper) readWhenDue(now Reading) Action {
	if k.looked != (Reading{}) && now.surely(k.looked) < k.config.Poll {
		return Action{}
	}
	return Action{
		Kind: Read,
	}
}

func (k *Keeper) write(r Row, takeover bool) Action {
	return Action{
		Kind:     Write,
		Row:      r,
		Version:  k.version,
		Takeover: takeover,
	}
}

// mayTake reports whether the lease is free for this host.
func (k *Keeper) mayTake(now Reading) bool {
	if k.release {
		return false
	}
	if k.version == 0 {
		return true
	}
	if !k.joined && now.surely(k.started) < k.config.Join {
		return false
	}
	if k.bound && now.surely(k.promised) < k.config.Promise+k.config.Margin {
		return false
	}
	if k.row.Released {
		return true
	}
	quiet := now.surely(k.since)
	if !k.row.lists(k.config.Host) {
		return quiet >= k.config.Extension+k.config.Promise+k.config.Margin
	}
	return quiet >= k.config.Duration+k.config.Margin &&
		now.surely(k.started) >= k.config.Promise+k.config.Margin
}

// nextBeat returns a number that no row had before and no other write of this
// keeper carries, also one that was lost and may arrive yet: a row with it is
// this very write, asked for at a known time.
func (k *Keeper) nextBeat() uint64 {
	k.beat = max(k.beat, k.row.Beat) + 1
	return k.beat
}

func (k *Keeper) takenRow() Row {
	return Row{
		Holder:      k.config.Host,
		Incarnation: k.config.Incarnation,
		Epoch:       k.row.Epoch + 1,
		Beat:        k.nextBeat(),
		Roster:      k.config.Hosts,
	}
}

func (k *Keeper) renewedRow() Row {
	r := k.row
	r.Beat = k.nextBeat()
	r.Roster = k.config.Hosts
	return r
}

func (k *Keeper) releasedRow() Row {
	r := k.renewedRow()
	r.Released = true
	return r
}

// ReadDone takes in the row as read. ok is false when the read failed;
// version 0 says that there is no row.
func (k *Keeper) ReadDone(now Reading, ok bool, version uint64, r Row) {
	k.busy = false
	if !ok {
		return
	}
	k.settleWrite(version, r)
	k.see(now, version, r)
}

// see takes in the row in the state that the table has it.
func (k *Keeper) see(now Reading, version uint64, r Row) {
	if !k.known || version != k.version {
		k.since = now
	}
	k.known = true
	k.version = version
	k.row = r
	if k.held && !k.mine(r) {
		k.held = false
	}
}

func (k *Keeper) mine(r Row) bool {
	return r.Holder == k.config.Host && r.Incarnation == k.config.Incarnation && r.Epoch == k.epoch && !r.Released
}

// settleWrite decides from the row as read whether a write whose answer was
// lost took effect.
func (k *Keeper) settleWrite(version uint64, r Row) {
	w := k.wrote
	k.wrote = nil
	if w == nil || version == 0 {
		return
	}
	same := r.Holder == w.row.Holder && r.Incarnation == w.row.Incarnation && r.Epoch == w.row.Epoch && r.Beat == w.row.Beat
	if same {
		k.took(*w)
	}
}

// took records that a write took effect.
func (k *Keeper) took(w attempt) {
	k.held = !w.row.Released
	k.epoch = w.row.Epoch
	k.from = w.asked
	k.table = w.asked
	if w.row.Released {
		k.release = true
	}
	if w.takeover {
		k.promises = map[spoolsill.HostID]Reading{}
	}
}

// Written says what became of a write.
type Written int

// The outcomes of a write.
const (
	Applied  Written = iota
	Conflict         // the row has another version: it was not written
	NotTaken         // the table did not take it: it was not written
	Lost             // it may have been written
)

// WriteDone takes in what became of the write.
func (k *Keeper) WriteDone(now Reading, w Written) {
	k.busy = false
	a := k.wrote
	if a == nil {
		return
	}
	switch w {
	case Applied:
		k.wrote = nil
		k.took(*a)
		k.see(now, k.version+1, a.row)
	case Conflict:
		// The row is another's, or a write of ours that was thought lost.
		k.known = false
		k.looked = Reading{}
	case NotTaken:
		k.wrote = nil
	case Lost:
		k.looked = Reading{}
	}
}

// dueToAsk reports whether the lease nears its end without a renewal. A lease
// that has lapsed is not asked for: another host may have held it since and
// have forgotten about it.
func (k *Keeper) dueToAsk(now Reading) bool {
	if _, ok := k.Holds(now); !ok || now.Since(k.from) < k.config.Duration/2 {
		return false
	}
	return !k.everAsk || now.surely(k.asked) >= k.config.Promise/4
}

// Promise answers the holder of an epoch that asks this host not to take the
// lease over. It refuses when it may have taken it over already.
func (k *Keeper) Promise(now Reading, epoch spoolsill.Epoch) bool {
	if k.held || k.wrote != nil || (k.known && epoch < k.row.Epoch) {
		return false
	}
	k.promised = now
	k.bound = true
	return true
}

// Promised takes in the promise of a host, asked for at asked.
func (k *Keeper) Promised(asked Reading, from spoolsill.HostID) {
	k.promises[from] = asked
}

// Joined says that the host knows what the hall's other hosts keep for the
// former holder: it may take the lease over as soon as that is free.
func (k *Keeper) Joined() {
	k.joined = true
}

// Release gives the lease back as soon as the table takes it. The host holds
// the lease no longer from now on and does not ask for it again.
func (k *Keeper) Release() {
	k.release = true
}

// Abandon gives up the epoch that the host holds, without a word to the
// table. The host may take the lease again, under a new epoch.
func (k *Keeper) Abandon() {
	k.held = false
}

// Released reports whether nothing is left to give back.
func (k *Keeper) Released() bool {
	return !k.held
}
