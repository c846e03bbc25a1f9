package holder

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/agent"
	"github.com/spoolsill/spoolsill/intent"
	"github.com/spoolsill/spoolsill/internal/zero"
	"github.com/spoolsill/spoolsill/lease"
	"github.com/spoolsill/spoolsill/place"
	"github.com/spoolsill/spoolsill/recordlog"
	"github.com/spoolsill/spoolsill/table"
	"github.com/spoolsill/spoolsill/timeline"
)

// ErrNotHolder is returned by calls that only the holder of the hall's lease
// can answer, on other hosts and until the holder is ready.
var ErrNotHolder = errors.New("holder: this host does not hold the hall's lease")

// ErrUnknownOutcome is returned when it is not known whether a plan will take
// effect, for example because its records did not become durable in time.
var ErrUnknownOutcome = errors.New("holder: not known whether it is in force")

// Defaults of [Config].
const (
	DefaultTaskLease     = 15 * time.Second
	DefaultTaskMargin    = 2 * time.Second
	DefaultRenewInterval = time.Second
	DefaultGroup         = 10 * time.Millisecond
	DefaultSnapshotEvery = 256
	DefaultMaxRequests   = 64
)

// Table is the part of the platform's table that a [Holder] uses.
type Table interface {
	Commit(ctx context.Context, t table.Txn) (table.Result, error)
	Get(ctx context.Context, key string) (table.Row, error)
	List(ctx context.Context, prefix, after string, limit int) ([]table.Row, error)
	// Unavailable reports whether the table does not respond at present.
	Unavailable() bool
}

// Objects is the part of the platform's object store that a [Holder] uses.
type Objects interface {
	PutObject(ctx context.Context, name string, b []byte) error
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// Agents sends requests to the workers.
type Agents interface {
	Start(ctx context.Context, address string, s agent.StartRequest) error
	Renew(ctx context.Context, address string, r agent.RenewRequest) ([]agent.Status, error)
	Signal(ctx context.Context, address string, s agent.Signal) error
}

// Peers sends requests to the other hosts of the hall.
type Peers interface {
	// Promise asks a host to promise not to take over the lease of epoch e for
	// a limited time. It reports whether the host has promised.
	Promise(ctx context.Context, h spoolsill.HostID, e spoolsill.Epoch) bool
	// Copy sends copies of entries to a host and reports whether the host keeps
	// them. stored, if not 0, is the newest entry in the table: the host drops
	// its copies up to it.
	Copy(ctx context.Context, h spoolsill.HostID, e spoolsill.Epoch, stored spoolsill.Sequence, entries []recordlog.Entry) bool
	// HandOver sends the entries that only this host has to another host, since
	// this host is stopping. It reports whether the other host keeps them, which
	// it does not if it is stopping too.
	HandOver(ctx context.Context, h spoolsill.HostID, e spoolsill.Epoch, entries []recordlog.Entry) bool
	// Copies returns the entries kept by a host that follow last, the newest
	// entry in the table, or all entries that it keeps if last is zero. complete
	// reports whether the host knows all entries that any host of the hall
	// keeps.
	Copies(ctx context.Context, h spoolsill.HostID, last recordlog.Position) (list []recordlog.Entry, complete bool, err error)
}

// Breaks disables safety mechanisms, so that tests and fault benchmarks can show
// which failure each of them prevents. It must be zero in production.
type Breaks struct {
	Promise bool // extend the lease past its end without promises
	Fence   bool // write the journal without the condition on the epoch
	Settle  bool // make decisions before reconciling with the workers
	Record  bool // act on decisions before they are durable
	Lapse   bool // restart tasks before the leases on their worker have expired
}

// A Config describes a [Holder].
type Config struct {
	Host        spoolsill.HostID
	Incarnation spoolsill.Incarnation
	Hall        spoolsill.HallID
	// Hosts are the entry hosts of the hall, including this one.
	Hosts   []spoolsill.HostID
	Table   Table
	Objects Objects
	Agents  Agents
	Peers   Peers
	// Workers returns the current list of the hall's workers. ok is false until
	// a list is available.
	Workers func() (list []spoolsill.Worker, ok bool)
	// Quotas returns the quota of each team in this hall.
	Quotas func() []place.Quota
	// Register reserves the id of the job that plan p adds to this hall, before
	// the plan is applied. It returns a [*place.StaleError] if the id is already
	// reserved for another plan. If Register is nil, ids are not reserved.
	Register func(ctx context.Context, j spoolsill.JobID, p spoolsill.PlanID) error
	Events   *timeline.Ring
	Log      logrus.FieldLogger

	// Lease configures the lease. [New] sets its fields Host, Incarnation, Hosts,
	// Join and NoPromises.
	Lease  lease.Config
	Place  place.Config
	Intent intent.Config
	// TaskLease is how long a worker runs a task without a renewal. TaskMargin
	// is how much longer the holder waits before it considers the lease expired.
	TaskLease  time.Duration
	TaskMargin time.Duration
	// RenewInterval is the interval between renewals of a worker's leases.
	RenewInterval time.Duration
	// Group is the interval at which decisions are made. Those of one interval
	// are written together.
	Group time.Duration
	// SnapshotEvery is the number of entries between snapshots.
	SnapshotEvery int
	// MaxRequests is the maximum number of concurrent requests to workers,
	// excluding the periodic renewals.
	MaxRequests int
	Break       Breaks
}

func (c Config) withDefaults() Config {
	zero.Default(&c.TaskLease, DefaultTaskLease)
	zero.Default(&c.TaskMargin, DefaultTaskMargin)
	zero.Default(&c.RenewInterval, DefaultRenewInterval)
	zero.Default(&c.Group, DefaultGroup)
	zero.Default(&c.SnapshotEvery, DefaultSnapshotEvery)
	zero.Default(&c.MaxRequests, DefaultMaxRequests)
	c.Lease.Join = joinTimeout
	c.Lease.Host = c.Host
	c.Lease.Incarnation = c.Incarnation
	c.Lease.Hosts = c.Hosts
	c.Lease.NoPromises = c.Break.Promise
	return c
}
