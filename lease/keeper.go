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
	// Host and Incarnation identify the process to which the keeper belongs.
	Host        spoolsill.HostID
	Incarnation spoolsill.Incarnation
	// Hosts are the entry hosts of the hall, this one included.
	Hosts []spoolsill.HostID
	// Duration is the duration of the lease, measured from the start of the write that
	// acquires or renews it.
	Duration time.Duration
	// Renew is the interval between renewals, and Poll the interval between reads of
	// a lease held by another host.
	Renew time.Duration
	Poll  time.Duration
	// Margin is how long a host waits beyond the end of another host's lease or of a
	// promise.
	Margin time.Duration
	// Promise is the duration of a promise.
	Promise time.Duration
	// Extension limits how long after the last renewal promises can extend a lease
	// while the table is unreachable. A host that is not on the roster (see [Row]) is not
	// asked for promises, and therefore waits longer than that before it takes over.
	Extension time.Duration
	// Join is how long after its start the host waits for [Keeper.MarkJoined] before it
	// takes over an existing lease; 0 means that it does not wait.
	Join time.Duration
	// NoPromises extends the lease without promises while the table is unreachable.
	// This is unsafe: it allows two holders, which tests use to show that promises
	// are needed.
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

// A ClockReading is a reading of two clocks. Mono is the time since the process started on the
// monotonic clock, which is never stepped but may stop while the machine is suspended.
// Wall is the time of day, which may be stepped but does not stop.
type ClockReading struct {
	Wall time.Time
	Mono time.Duration
}

// Since returns the time elapsed from o to r on the clock on which it is longer. This host's
// lease and the promises made to it are measured with Since, so that they expire early
// rather than late.
func (r ClockReading) Since(o ClockReading) time.Duration {
	return max(r.Mono-o.Mono, r.Wall.Sub(o.Wall))
}

// monotonicSince returns the time elapsed from o to r on the monotonic clock, which is a lower
// bound. What other hosts hold is measured with it, so that it is not taken over early.
func (r ClockReading) monotonicSince(o ClockReading) time.Duration {
	return r.Mono - o.Mono
}

// ActionKind is the kind of an [Action].
type ActionKind int

// The kinds of actions.
const (
	NoAction        ActionKind = iota
	ReadRow                    // read the lease row
	WriteRow                   // write Row if the version of the lease row is Version
	RequestPromises            // request promises from the other hosts of the roster
)

// An Action is an operation that the caller of [Keeper.Next] has to perform.
type Action struct {
	Kind ActionKind
	// Row is the row to write or, for RequestPromises, the row that names the epoch and the
	// roster.
	Row Row
	// Version is the version that the row must have for the write to be applied; 0 means
	// that the row must not exist.
	Version uint64
	// Takeover reports that the write changes the holder, so that the epoch row must
	// be written in the same transaction.
	Takeover bool
}

// A Keeper is the state machine of a hall's lease on one host. Its owner calls
// [Keeper.Next] repeatedly, performs the returned actions, and reports their results with
// [Keeper.ReadDone], [Keeper.WriteDone] and [Keeper.RecordPromise].
type Keeper struct {
	config  Config
	started ClockReading

	row            Row // as last read or written
	version        uint64
	known          bool          // row was read since the start and since the last conflicting write
	unchangedSince ClockReading  // when row was first read or written in its current version
	lastAccess     ClockReading  // start of the last read or write; zero if the next is due at once
	busy           bool          // a read or write is in progress
	pendingWrite   *writeAttempt // write in progress or of unknown outcome
	lastWriteID    uint64        // of the last write

	held          bool
	epoch         spoolsill.Epoch
	heldSince     ClockReading                      // start of the write by which the lease was acquired or last renewed
	lastConfirmed ClockReading                      // start of the last write that the table confirmed
	lastRequest   ClockReading                      // start of the last request for promises
	hasRequested  bool                              // lastRequest is valid
	promises      map[spoolsill.HostID]ClockReading // start of the request for the last promise of each host
	lastPromise   ClockReading                      // when this host made its last promise
	hasPromised   bool                              // lastPromise is valid
	releasing     bool                              // the lease is to be released
	joined        bool                              // MarkJoined was called
}

// A writeAttempt is a write whose outcome is not yet known.
type writeAttempt struct {
	row      Row
	start    ClockReading
	takeover bool
}

// NewKeeper returns a keeper that has not read the lease row. now is when the host's process
// started.
func NewKeeper(c Config, now ClockReading) *Keeper {
	return &Keeper{
		config:   c.withDefaults(),
		started:  now,
		promises: map[spoolsill.HostID]ClockReading{},
	}
}

// Holds reports whether the host holds the lease at now, and its epoch. It must be called
// immediately before each action that needs the lease.
func (k *Keeper) Holds(now ClockReading) (spoolsill.Epoch, bool) {
	if !k.held || k.releasing {
		return 0, false
	}
	if now.Since(k.heldSince) < k.config.Duration {
		return k.epoch, true
	}
	return k.epoch, k.extendedByPromises(now)
}

// Tenure returns the epoch under which the host holds or last held the lease. It reports
// false once the lease has been released or abandoned, or another host is known to have
// taken it over. Unlike [Keeper.Holds], true does not imply that the lease is still valid.
func (k *Keeper) Tenure() (spoolsill.Epoch, bool) {
	return k.epoch, k.held
}

// Epoch returns the epoch of the lease row as last read or written.
func (k *Keeper) Epoch() spoolsill.Epoch {
	return k.row.Epoch
}

// Holder returns the holder according to the lease row as last read or written. It
// returns false if the row is not known or the lease was released.
func (k *Keeper) Holder() (spoolsill.HostID, bool) {
	if !k.known || k.row.Released {
		return "", false
	}
	return k.row.Holder, true
}

// extendedByPromises reports whether promises extend the lease past its expiry.
func (k *Keeper) extendedByPromises(now ClockReading) bool {
	if k.config.NoPromises {
		return true
	}
	if now.Since(k.lastConfirmed) >= k.config.Extension {
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

// Next returns the action to perform at now, of kind NoAction if there is none. After a
// ReadRow or WriteRow it returns neither until ReadDone or WriteDone is called.
func (k *Keeper) Next(now ClockReading) Action {
	if k.promisesDue(now) {
		k.lastRequest = now
		k.hasRequested = true
		return Action{
			Kind: RequestPromises,
			Row:  k.row,
		}
	}
	if k.busy {
		return Action{}
	}
	a := k.nextAccess(now)
	if a.Kind == NoAction {
		return a
	}
	k.busy = true
	k.lastAccess = now
	if a.Kind == WriteRow {
		k.pendingWrite = &writeAttempt{
			row:      a.Row,
			start:    now,
			takeover: a.Takeover,
		}
	}
	return a
}

func (k *Keeper) nextAccess(now ClockReading) Action {
	switch {
	case k.pendingWrite != nil, !k.known:
		return k.readWhenDue(now)
	case k.held && k.releasing:
		return k.write(k.releasedRow(), false)
	case k.held && now.monotonicSince(k.lastAccess) >= k.config.Renew:
		return k.write(k.renewedRow(), false)
	case k.held:
		return Action{}
	case k.mayAcquire(now):
		return k.write(k.acquiredRow(), true)
	default:
		return k.readWhenDue(now)
	}
}

func (k *Keeper) readWhenDue(now ClockReading) Action {
	if k.lastAccess != (ClockReading{}) && now.monotonicSince(k.lastAccess) < k.config.Poll {
		return Action{}
	}
	return Action{
		Kind: ReadRow,
	}
}

func (k *Keeper) write(r Row, takeover bool) Action {
	return Action{
		Kind:     WriteRow,
		Row:      r,
		Version:  k.version,
		Takeover: takeover,
	}
}

// mayAcquire reports whether this host may acquire the lease. A row that does not exist or
// that was released has no holder to wait for.
func (k *Keeper) mayAcquire(now ClockReading) bool {
	if k.releasing {
		return false
	}
	if k.version == 0 {
		return true
	}
	if !k.joined && now.monotonicSince(k.started) < k.config.Join {
		return false
	}
	if k.hasPromised && now.monotonicSince(k.lastPromise) < k.config.Promise+k.config.Margin {
		return false
	}
	if k.row.Released {
		return true
	}
	unchanged := now.monotonicSince(k.unchangedSince)
	if !k.row.onRoster(k.config.Host) {
		return unchanged >= k.config.Extension+k.config.Promise+k.config.Margin
	}
	return unchanged >= k.config.Duration+k.config.Margin &&
		now.monotonicSince(k.started) >= k.config.Promise+k.config.Margin
}

// nextWriteID returns a number that is higher than that of the row and of all other writes of
// this keeper, including those of unknown outcome that may still be applied. A row with
// this number therefore identifies the write, whose start time is known.
func (k *Keeper) nextWriteID() uint64 {
	k.lastWriteID = max(k.lastWriteID, k.row.WriteID) + 1
	return k.lastWriteID
}

func (k *Keeper) acquiredRow() Row {
	return Row{
		Holder:      k.config.Host,
		Incarnation: k.config.Incarnation,
		Epoch:       k.row.Epoch + 1,
		WriteID:     k.nextWriteID(),
		Roster:      k.config.Hosts,
	}
}

func (k *Keeper) renewedRow() Row {
	r := k.row
	r.WriteID = k.nextWriteID()
	r.Roster = k.config.Hosts
	return r
}

func (k *Keeper) releasedRow() Row {
	r := k.renewedRow()
	r.Released = true
	return r
}

// ReadDone reports the result of a ReadRow action. ok is false if the read failed; version 0 means
// that the row does not exist.
func (k *Keeper) ReadDone(now ClockReading, ok bool, version uint64, r Row) {
	k.busy = false
	if !ok {
		return
	}
	k.resolveWrite(version, r)
	k.observeRow(now, version, r)
}

// observeRow records the row as read from or written to the table.
func (k *Keeper) observeRow(now ClockReading, version uint64, r Row) {
	if !k.known || version != k.version {
		k.unchangedSince = now
	}
	k.known = true
	k.version = version
	k.row = r
	if k.held && !k.isOwn(r) {
		k.held = false
	}
}

func (k *Keeper) isOwn(r Row) bool {
	return r.Holder == k.config.Host && r.Incarnation == k.config.Incarnation && r.Epoch == k.epoch && !r.Released
}

// resolveWrite determines from the row as read whether a write of unknown outcome was
// applied.
func (k *Keeper) resolveWrite(version uint64, r Row) {
	w := k.pendingWrite
	k.pendingWrite = nil
	if w == nil || version == 0 {
		return
	}
	same := r.Holder == w.row.Holder && r.Incarnation == w.row.Incarnation && r.Epoch == w.row.Epoch && r.WriteID == w.row.WriteID
	if same {
		k.writeApplied(*w)
	}
}

// writeApplied records that a write was applied.
func (k *Keeper) writeApplied(w writeAttempt) {
	k.held = !w.row.Released
	k.epoch = w.row.Epoch
	k.heldSince = w.start
	k.lastConfirmed = w.start
	if w.row.Released {
		k.releasing = true
	}
	if w.takeover {
		k.promises = map[spoolsill.HostID]ClockReading{}
	}
}

// WriteOutcome is the outcome of a write.
type WriteOutcome int

// The outcomes of a write.
const (
	WriteApplied  WriteOutcome = iota
	WriteConflict              // not applied: the row has another version
	WriteRejected              // not applied: the table was unavailable
	WriteUnknown               // unknown: it may have been or may yet be applied
)

// WriteDone reports the outcome of a WriteRow action.
func (k *Keeper) WriteDone(now ClockReading, w WriteOutcome) {
	k.busy = false
	a := k.pendingWrite
	if a == nil {
		return
	}
	switch w {
	case WriteApplied:
		k.pendingWrite = nil
		k.writeApplied(*a)
		k.observeRow(now, k.version+1, a.row)
	case WriteConflict:
		// Another host has written the row, or an earlier write of this host of unknown
		// outcome was applied.
		k.known = false
		k.lastAccess = ClockReading{}
	case WriteRejected:
		k.pendingWrite = nil
	case WriteUnknown:
		k.lastAccess = ClockReading{}
	}
}

// promisesDue reports whether promises are to be requested because the lease approaches its
// expiry without a renewal. None are requested for an expired lease: another host may have
// held it since, and have lost that knowledge in a restart.
func (k *Keeper) promisesDue(now ClockReading) bool {
	if _, ok := k.Holds(now); !ok || now.Since(k.heldSince) < k.config.Duration/2 {
		return false
	}
	return !k.hasRequested || now.monotonicSince(k.lastRequest) >= k.config.Promise/4
}

// Promise handles the request of the holder of epoch not to take over the lease, and
// reports whether the promise is made. It is not made if this host may already have taken
// over or knows of a later epoch.
func (k *Keeper) Promise(now ClockReading, epoch spoolsill.Epoch) bool {
	if k.held || k.pendingWrite != nil || (k.known && epoch < k.row.Epoch) {
		return false
	}
	k.lastPromise = now
	k.hasPromised = true
	return true
}

// RecordPromise records that another host has promised not to take over the lease.
// requested is when this host sent the request; the promise is measured from then.
func (k *Keeper) RecordPromise(requested ClockReading, from spoolsill.HostID) {
	k.promises[from] = requested
}

// MarkJoined records that the host has received the copies that the hall's other hosts keep for
// the previous holder, so that it need not wait for [Config.Join].
func (k *Keeper) MarkJoined() {
	k.joined = true
}

// Release makes the keeper release the lease as soon as the table is reachable. From now on
// the host does not hold the lease and does not acquire it again.
func (k *Keeper) Release() {
	k.releasing = true
}

// Abandon gives up the held epoch without a write to the table. The host may acquire the
// lease again under a new epoch.
func (k *Keeper) Abandon() {
	k.held = false
}

// Released reports whether there is no lease left to release: it has been released in the
// table, or this host does not hold it.
func (k *Keeper) Released() bool {
	return !k.held
}
