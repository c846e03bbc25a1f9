package leader

import (
	"context"
	"errors"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/packed"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/jobstore"
	"github.com/spoolsill/spoolsill/store"
)

// HeadKey is the key of the row that says who leads.
var HeadKey = store.Key{
	Table:     "cell",
	Partition: jobstore.CellPartition,
	Name:      "head",
}

// ErrLeadershipLost is returned once another host leads.
var ErrLeadershipLost = errors.New("leader: another host leads")

// A Head says who leads the cell.
type Head struct {
	Epoch spoolsill.Epoch  `msgpack:"e"`
	Host  spoolsill.HostID `msgpack:"h"`
	// Address is where the leader's peers reach it.
	Address string `msgpack:"a"`
	// Incarnation tells the leader's processes apart.
	Incarnation spoolsill.Incarnation `msgpack:"l"`
	// WriteCount counts the writes of the epoch.
	WriteCount uint64 `msgpack:"w"`
	// MaxCores is that of the largest host that has led or was known to a
	// leader, so that small hosts let others go first also when all hosts
	// have been restarted.
	MaxCores float64 `msgpack:"c"`
	// Hosts is how many hosts there are, as far as the leader knew when it
	// took over; 0 means that it did not.
	Hosts int `msgpack:"n"`
	// Released tells that the leader has ended as planned.
	Released bool `msgpack:"r"`
	// UnfinishedLoads counts the leaderships in a row, this one included, that have not
	// read all jobs: what one has read, the next one reads anew.
	UnfinishedLoads int `msgpack:"u"`
}

// ReadHead returns the head and its version; version 0 means that nobody has
// led yet.
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
	// tryFirst is how long the first try of a write is waited for before another
	// one is sent: the platform needs some 8 ms for it, and the store may be
	// several times slower.
	tryFirst = 150 * time.Millisecond
	// tryMost bounds it when the store is slow.
	tryMost = 1200 * time.Millisecond
	// triesAtOnce is how many tries are waited for side by side, and tryWithin for
	// how long: the slowest store of the known deployments needs less than two
	// seconds for a write.
	triesAtOnce = 5
	tryWithin   = 4 * time.Second
	// tryPause is between tries that the store refused.
	tryPause = 40 * time.Millisecond
	// pauseMost bounds the pause when it goes on refusing.
	pauseMost = 250 * time.Millisecond
)

// A Chain is the leadership of one host. Only Epoch and Fence are safe for concurrent use.
type Chain struct {
	store   store.Store
	epoch   spoolsill.Epoch // does not change
	first   spoolsill.Epoch // the lowest of its fences; epoch is the highest
	head    Head
	version store.Version
	// usual is a moving average of how long a try takes that is answered.
	usual time.Duration
}

// Acquire tries once to become the leader in place of the head that was read with
// a version.
func Acquire(ctx context.Context, s store.Store, old Head, v store.Version, me Head) (*Chain, error) {
	c := &Chain{
		store:   s,
		head:    me,
		version: v,
	}
	c.first = old.Epoch + 1
	c.epoch = old.Epoch + FencesPerEpoch
	c.head.Epoch = c.epoch
	c.head.MaxCores = max(old.MaxCores, me.MaxCores)
	if me.Hosts == 0 {
		c.head.Hosts = old.Hosts
	}
	c.head.UnfinishedLoads = old.UnfinishedLoads + 1
	if err := c.write(ctx, c.head, nil, nil); err != nil {
		return nil, err
	}
	return c, nil
}

// FencesPerEpoch is how many fences a leadership has, one for each life of a worker that it
// meets: enough for one that starts again each second for hours. Its epoch is the highest
// of them, so that those of the next leadership, of the release before fences of lives as
// well, are higher.
const FencesPerEpoch = 10_000

// Epoch returns the epoch of this leadership.
func (c *Chain) Epoch() spoolsill.Epoch {
	return c.epoch
}

// Fence returns the fence of the calls to a worker that has started again so often under
// this leadership: a later life refuses orders for those before.
func (c *Chain) Fence(restarts int) spoolsill.Epoch {
	return min(c.first+spoolsill.Epoch(restarts), c.epoch)
}

// Writes returns how many writes of this leadership last. It must not be called
// while a write is under way.
func (c *Chain) Writes() uint64 {
	return c.head.WriteCount
}

// MarkLoaded tells with the next write that all jobs are read. It must not be called while
// a write is under way.
func (c *Chain) MarkLoaded() {
	c.head.UnfinishedLoads = 0
}

// Write puts and deletes rows, whatever it takes, until ctx ends or another host
// leads.
func (c *Chain) Write(ctx context.Context, puts []store.Put, deletes []store.Key) error {
	h := c.head
	h.WriteCount++
	return c.write(ctx, h, puts, deletes)
}

// Release gives the leadership up as planned.
func (c *Chain) Release(ctx context.Context) error {
	h := c.head
	h.WriteCount++
	h.Released = true
	return c.write(ctx, h, nil, nil)
}

func (c *Chain) write(ctx context.Context, h Head, puts []store.Put, deletes []store.Key) error {
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
		}, puts...),
		Deletes: deletes,
	}
	delay := tryPause
	for {
		r, err := c.try(ctx, t)
		switch {
		case err == nil:
			return c.settle(h, v, r)
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, store.ErrRefused):
			pause.For(ctx, delay)
			delay = min(2*delay, pauseMost)
		case errors.Is(err, context.DeadlineExceeded):
			// It has been waited for long enough.
		default:
			// The connection broke: the store may come back at any moment.
			pause.For(ctx, tryPause)
		}
	}
}

func (c *Chain) try(ctx context.Context, t store.Transaction) (store.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, tryWithin)
	defer cancel()
	r, took, err := store.CommitPatiently(ctx, c.store, t, store.Patience{
		First: min(max(tryFirst, 4*c.usual), tryMost),
		Most:  tryMost,
		Tries: triesAtOnce,
	})
	if err == nil {
		c.learn(took)
	}
	return r, err
}

// learn takes in how long a try took that was answered. A store that has become
// slow is believed at once: more tries than needed make it slower.
func (c *Chain) learn(took time.Duration) {
	weight := time.Duration(8)
	if took > c.usual {
		weight = 2
	}
	c.usual += (took - c.usual) / weight
}

// settle takes in the fate of a write. A head that reads as ours was written
// by an earlier try.
func (c *Chain) settle(h Head, written []byte, r store.Result) error {
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
