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

// ErrNotHolder is returned by calls that only the hall's holder can answer.
var ErrNotHolder = errors.New("holder: this host does not hold the hall's lease")

// ErrNotLasting is returned when a decision was made and could not be made to
// last in time: it may come into force or not.
var ErrNotLasting = errors.New("holder: not known whether it is in force")

// Defaults of [Config].
const (
	DefaultTaskLease     = 15 * time.Second
	DefaultTaskMargin    = 2 * time.Second
	DefaultPoll          = time.Second
	DefaultGroup         = 10 * time.Millisecond
	DefaultSnapshotEvery = 256
	DefaultStarts        = 64
)

// Table is what a holder needs of the platform's table.
type Table interface {
	Commit(ctx context.Context, t table.Txn) (table.Result, error)
	Get(ctx context.Context, key string) (table.Row, error)
	List(ctx context.Context, prefix, after string, limit int) ([]table.Row, error)
	// Silent reports whether the table has not answered lately.
	Silent() bool
}

// Objects is what a holder needs of the platform's object store.
type Objects interface {
	PutObject(ctx context.Context, name string, b []byte) error
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// Agents reaches the workers.
type Agents interface {
	Start(ctx context.Context, address string, s agent.StartRequest) error
	Renew(ctx context.Context, address string, r agent.RenewRequest) ([]agent.Status, error)
	Signal(ctx context.Context, address string, s agent.Signal) error
}

// Peers reaches the other hosts of the hall.
type Peers interface {
	// Promise asks a host not to take the lease over for a while.
	Promise(ctx context.Context, h spoolsill.HostID, e spoolsill.Epoch) bool
	// Copy hands entries to a host and reports whether it keeps them. stored
	// is the newest entry that the table has: copies up to it may be dropped.
	Copy(ctx context.Context, h spoolsill.HostID, e spoolsill.Epoch, stored spoolsill.Sequence, entries []recordlog.Entry) bool
	// HandOver hands entries of this host, which leaves, to another one and
	// reports whether it keeps them; one that leaves too does not.
	HandOver(ctx context.Context, h spoolsill.HostID, e spoolsill.Epoch, entries []recordlog.Entry) bool
	// Copies returns the entries that a host keeps and that follow on the last
	// one in the table, or all for the zero mark. whole says that nothing is
	// kept elsewhere in the hall that the host does not know.
	Copies(ctx context.Context, h spoolsill.HostID, last recordlog.Mark) (list []recordlog.Entry, whole bool, err error)
}

// Breaks switches mechanisms off, so that tests can show what each is for.
// Nothing else sets it.
type Breaks struct {
	Promise bool // go on past the lease's end without promises
	Fence   bool // write the journal without the condition on the epoch
	Settle  bool // decide before the workers are listed
	Record  bool // act before a decision lasts
	Lapse   bool // start a task elsewhere before its leases have lapsed
}

// A Config describes a [Holder].
type Config struct {
	Host        spoolsill.HostID
	Incarnation spoolsill.Incarnation
	Hall        spoolsill.HallID
	// Hosts are the entry hosts of the hall, this one included.
	Hosts   []spoolsill.HostID
	Table   Table
	Objects Objects
	Agents  Agents
	Peers   Peers
	// Workers returns the hall's workers as they are seen now; ok is false
	// while no list has come.
	Workers func() (list []spoolsill.Worker, ok bool)
	// Quotas returns what each team may use in this hall.
	Quotas func() []place.Quota
	// Register makes a job's id the hall's own, for a plan, before the plan is
	// applied. It fails with a [*place.StaleError] when another hall has a job
	// of that id. Nil registers nothing.
	Register func(ctx context.Context, j spoolsill.JobID, p spoolsill.PlanID) error
	Events   *timeline.Ring
	Log      logrus.FieldLogger

	Lease  lease.Config // Host, Incarnation and Hosts are filled in
	Place  place.Config
	Intent intent.Config
	// TaskLease is how long a worker runs a task without a renewal, and
	// TaskMargin what the holder waits beyond it.
	TaskLease  time.Duration
	TaskMargin time.Duration
	// Poll is the time between two renewals at a worker.
	Poll time.Duration
	// Group is the time for which decisions are collected into one write.
	Group time.Duration
	// SnapshotEvery is the number of entries between two snapshots.
	SnapshotEvery int
	// Starts bounds the starts under way at once.
	Starts int
	Break  Breaks
}

func (c Config) withDefaults() Config {
	zero.Default(&c.TaskLease, DefaultTaskLease)
	zero.Default(&c.TaskMargin, DefaultTaskMargin)
	zero.Default(&c.Poll, DefaultPoll)
	zero.Default(&c.Group, DefaultGroup)
	zero.Default(&c.SnapshotEvery, DefaultSnapshotEvery)
	zero.Default(&c.Starts, DefaultStarts)
	c.Lease.Join = joinWithin
	c.Lease.Host = c.Host
	c.Lease.Incarnation = c.Incarnation
	c.Lease.Hosts = c.Hosts
	c.Lease.NoPromises = c.Break.Promise
	return c
}
