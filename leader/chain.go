package leader

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/packed"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/jobstore"
	"github.com/spoolsill/spoolsill/store"
)

// HeadKey is the key of the leader row.
var HeadKey = store.Key{
	Table:     "cell",
	Partition: jobstore.CellPartition,
	Name:      "head",
}

// ErrLeadershipLost is returned once another host leads.
var ErrLeadershipLost = errors.New("leader: another host leads")

// A Head is the content of the leader row: which host leads the cell.
type Head struct {
	Epoch spoolsill.Epoch  `msgpack:"e"`
	Host  spoolsill.HostID `msgpack:"h"`
	// Address is where peers reach the leader.
	Address string `msgpack:"a"`
	// Incarnation identifies the leader's process among those of its host.
	Incarnation spoolsill.Incarnation `msgpack:"l"`
	// WriteCount counts the writes of the epoch.
	WriteCount uint64 `msgpack:"w"`
	// MaxCores is the core count of the largest host that has led or was known to a
	// leader. It lets small hosts defer to larger ones even after all hosts restarted.
	MaxCores float64 `msgpack:"c"`
	// Hosts is the number of hosts that the leader knew of when it took over; 0 means
	// that it did not know.
	Hosts int `msgpack:"n"`
	// Released is set when the leader has stopped as planned.
	Released bool `msgpack:"r"`
	// UnfinishedLoads counts the consecutive leaderships, including this one, that have
	// not read all jobs. Each leadership reads them from the beginning.
	UnfinishedLoads int `msgpack:"u"`
	// Former has the hosts whose earlier leaderships are not known to be over: they may still
	// extend the leases of workers. FormerKnown is set if there can be no others; earlier
	// releases don't set it.
	Former      []spoolsill.HostID `msgpack:"f"`
	FormerKnown bool               `msgpack:"k"`
	// FormerEpochs has the epochs of the latest leaderships of Former. Earlier releases leave
	// it out.
	FormerEpochs []spoolsill.Epoch `msgpack:"g"`
}

// FormerEpoch returns the epoch of the latest leadership of a host in Former, or 0 if it is not
// known.
func (h *Head) FormerEpoch(host spoolsill.HostID) spoolsill.Epoch {
	i := slices.Index(h.Former, host)
	if i < 0 || len(h.FormerEpochs) != len(h.Former) {
		return 0
	}
	return h.FormerEpochs[i]
}

// setFormer sets the former leaders and their epochs.
func (h *Head) setFormer(hosts []spoolsill.HostID, known bool, epoch func(spoolsill.HostID) spoolsill.Epoch) {
	epochs := make([]spoolsill.Epoch, len(hosts))
	for i, f := range hosts {
		epochs[i] = epoch(f)
	}
	h.Former = hosts
	h.FormerKnown = known
	h.FormerEpochs = epochs
}

// ReadHead returns the leader row and its version; version 0 means that no host has led yet.
func ReadHead(ctx context.Context, s store.Store) (Head, store.Version, error) {
	r, err := store.Get(ctx, s, HeadKey)
	if err != nil || r.Version == 0 {
		return Head{}, 0, err
	}
	var h Head
	_, err = packed.Decode(r.Value, &h)
	return h, r.Version, err
}

const (
	// firstTryTimeout is how long the first attempt of a write runs alone before another
	// one is sent in parallel: the platform needs about 8 ms for a write, and the store
	// may be several times slower.
	firstTryTimeout = 150 * time.Millisecond
	// maxTryTimeout bounds that time, which grows with the latency of the store and
	// doubles with each attempt.
	maxTryTimeout = 1200 * time.Millisecond
	// maxConcurrentTries is the maximum number of attempts in flight, and triesTimeout
	// bounds their duration: the slowest store of the known deployments needs less than two
	// seconds for a write.
	maxConcurrentTries = 5
	triesTimeout       = 4 * time.Second
	// retryDelay is the delay before a retry when the store refused an attempt.
	retryDelay = 40 * time.Millisecond
	// maxRetryDelay bounds the exponential delay while the store keeps refusing.
	maxRetryDelay = 250 * time.Millisecond
)

// A Chain is the leadership of one host. Only Epoch and Fence are safe for concurrent use.
type Chain struct {
	store      store.Store
	epoch      spoolsill.Epoch // immutable
	firstFence spoolsill.Epoch // lowest fence; epoch is the highest
	head       Head
	version    store.Version
	// commitLatency is a moving average of the latency of answered attempts.
	commitLatency time.Duration
}

// Acquire tries once to become the leader by replacing the leader row old, which was read
// at version v.
func Acquire(ctx context.Context, s store.Store, old Head, v store.Version, me Head) (*Chain, error) {
	c := &Chain{
		store:   s,
		head:    me,
		version: v,
	}
	c.firstFence = old.Epoch + 1
	c.epoch = old.Epoch + FencesPerEpoch
	c.head.Epoch = c.epoch
	c.head.MaxCores = max(old.MaxCores, me.MaxCores)
	if me.Hosts == 0 {
		c.head.Hosts = old.Hosts
	}
	c.head.UnfinishedLoads = old.UnfinishedLoads + 1
	hosts, known := old.formerOfNext(me.Host)
	c.head.setFormer(hosts, known, func(f spoolsill.HostID) spoolsill.Epoch {
		if f == old.Host {
			return old.Epoch
		}
		return old.FormerEpoch(f)
	})
	if err := c.write(ctx, c.head, rows{}); err != nil {
		return nil, err
	}
	return c, nil
}

// maxFormer limits the hosts in [Head.Former].
const maxFormer = 64

// formerOfNext returns the former leaders for the head of the next leadership, which is that of
// a host. A host's own leaderships are over when it leads again. The second result is false if
// not all of them are known.
func (h *Head) formerOfNext(host spoolsill.HostID) ([]spoolsill.HostID, bool) {
	if h.Epoch == 0 {
		return nil, true // no host has led
	}
	if !h.FormerKnown {
		return nil, false
	}
	former := slices.Clone(h.Former)
	if !h.Released && !slices.Contains(former, h.Host) {
		former = append(former, h.Host)
	}
	former = slices.DeleteFunc(former, func(f spoolsill.HostID) bool { return f == host })
	if len(former) > maxFormer {
		return nil, false
	}
	return former, true
}

// CountedByFormer reports whether all former leaders that may not be over are known and count this host
// as a follower, as counts reports. It must not be called during a write.
func (c *Chain) CountedByFormer(counts func(spoolsill.HostID, spoolsill.Epoch) bool) bool {
	for _, f := range c.head.Former {
		if !counts(f, c.head.FormerEpoch(f)) {
			return false
		}
	}
	return c.head.FormerKnown
}

// Former returns the hosts whose earlier leaderships may not be over. The second result is false
// if there may be others. It must not be called during a write.
func (c *Chain) Former() ([]spoolsill.HostID, bool) {
	return c.head.Former, c.head.FormerKnown
}

// SetFormer sets the hosts whose earlier leaderships may not be over; the next write stores
// them. It must not be called during a write.
func (c *Chain) SetFormer(hosts []spoolsill.HostID) {
	old := c.head
	c.head.setFormer(hosts, true, old.FormerEpoch)
}

// FencesPerEpoch is how many fences a leadership has. Each incarnation of a worker that it
// meets uses one, which is enough for a worker that restarts every second for hours. The
// epoch is the highest fence, so that all fences of the next leadership are higher, also if
// the next leader runs an older release, which has one fence per epoch.
const FencesPerEpoch = 10_000

// Epoch returns the epoch of this leadership.
func (c *Chain) Epoch() spoolsill.Epoch {
	return c.epoch
}

// Fence returns the fencing token of calls to a worker that has restarted so many times under
// this leadership. A later incarnation rejects orders for the earlier ones.
func (c *Chain) Fence(restarts int) spoolsill.Epoch {
	return min(c.firstFence+spoolsill.Epoch(restarts), c.epoch)
}

// Writes returns the number of successful writes of this leadership. It must not be called
// during a write.
func (c *Chain) Writes() uint64 {
	return c.head.WriteCount
}

// MarkLoaded records that all jobs are read; the next write stores it. It must not be called
// during a write.
func (c *Chain) MarkLoaded() {
	c.head.UnfinishedLoads = 0
}

// Write puts and deletes rows, in one transaction unless the store rejects it for good. It
// retries until the rows are written, ctx ends or another host leads. It returns the keys of the rows that
// the store rejects for good; all others are written then.
func (c *Chain) Write(ctx context.Context, puts []store.Put, deletes []store.Key) (rejected []store.Key, err error) {
	return c.writeRows(ctx, rows{
		puts:    puts,
		deletes: deletes,
	})
}

// writeRows isolates rejected rows by bisection.
func (c *Chain) writeRows(ctx context.Context, w rows) (rejected []store.Key, err error) {
	err = c.writeOnce(ctx, w)
	if !errors.Is(err, store.ErrInvalid) {
		return nil, err
	}
	if w.len() == 1 {
		return c.confirmRejected(ctx, w)
	}
	for _, half := range w.split() {
		r, err := c.writeRows(ctx, half)
		rejected = append(rejected, r...)
		if err != nil {
			return rejected, err
		}
	}
	return rejected, nil
}

// confirmRejected tries a single row once more, after a write without rows: a store that for a time
// refuses whatever it is sent must not cost any row.
func (c *Chain) confirmRejected(ctx context.Context, w rows) ([]store.Key, error) {
	if err := c.writeOnce(ctx, rows{}); err != nil {
		return nil, err
	}
	err := c.writeOnce(ctx, w)
	if errors.Is(err, store.ErrInvalid) {
		return w.keys(), nil
	}
	return nil, err
}

func (c *Chain) writeOnce(ctx context.Context, w rows) error {
	h := c.head
	h.WriteCount++
	return c.write(ctx, h, w)
}

// rows are the changes of a transaction, in addition to that of the leader row.
type rows struct {
	puts    []store.Put
	deletes []store.Key
}

func (w rows) len() int {
	return len(w.puts) + len(w.deletes)
}

func (w rows) keys() []store.Key {
	keys := slices.Clone(w.deletes)
	for _, p := range w.puts {
		keys = append(keys, p.Key)
	}
	return keys
}

// split returns two halves of w, which has at least two rows.
func (w rows) split() [2]rows {
	p, d := len(w.puts)/2, len(w.deletes)/2
	if p+d == 0 {
		p = 1 // one of each
	}
	return [2]rows{
		{
			puts:    w.puts[:p],
			deletes: w.deletes[:d],
		},
		{
			puts:    w.puts[p:],
			deletes: w.deletes[d:],
		},
	}
}

// Release gives up the leadership, so that another host can take over at once.
func (c *Chain) Release(ctx context.Context) error {
	h := c.head
	h.WriteCount++
	h.Released = true
	return c.write(ctx, h, rows{})
}

// write returns [store.ErrInvalid] only if there are other rows than the leader's.
func (c *Chain) write(ctx context.Context, h Head, w rows) error {
	v, err := msgpack.Marshal(&h)
	if err != nil {
		return err
	}
	t := store.Transaction{
		Conditions: []store.Condition{
			{
				Key:     HeadKey,
				Version: c.version,
			},
		},
		Puts: append([]store.Put{
			{
				Key:   HeadKey,
				Value: v,
			},
		}, w.puts...),
		Deletes: w.deletes,
	}
	delay := retryDelay
	for {
		r, err := c.try(ctx, t)
		switch {
		case err == nil:
			return c.resolve(h, v, r)
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, store.ErrInvalid) && w.len() > 0:
			return err
		case errors.Is(err, store.ErrRefused):
			pause.For(ctx, delay)
			delay = min(2*delay, maxRetryDelay)
		case errors.Is(err, context.DeadlineExceeded):
			// All attempts timed out; retry at once.
		default:
			// The connection failed; the store may become reachable at any moment.
			pause.For(ctx, retryDelay)
		}
	}
}

func (c *Chain) try(ctx context.Context, t store.Transaction) (store.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, triesTimeout)
	defer cancel()
	r, took, err := store.CommitHedged(ctx, c.store, t, store.HedgePolicy{
		First: min(max(firstTryTimeout, 4*c.commitLatency), maxTryTimeout),
		Max:   maxTryTimeout,
		Tries: maxConcurrentTries,
	})
	if err == nil {
		c.observe(took)
	}
	return r, err
}

// observe records the latency of an answered attempt. Rises are weighted more than falls:
// needless attempts would slow down a slow store further.
func (c *Chain) observe(took time.Duration) {
	divisor := time.Duration(8)
	if took > c.commitLatency {
		divisor = 2
	}
	c.commitLatency += (took - c.commitLatency) / divisor
}

// resolve records the outcome of a write. If its condition failed but the leader row equals the
// one to be written, an earlier attempt was applied. Otherwise the leadership is lost.
func (c *Chain) resolve(h Head, written []byte, r store.Result) error {
	if r.Applied {
		c.head = h
		c.version = r.Version
		return nil
	}
	for _, row := range r.Current {
		if row.Key == HeadKey && string(row.Value) == string(written) {
			c.head = h
			c.version = row.Version
			return nil
		}
	}
	return ErrLeadershipLost
}
