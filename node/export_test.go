package node

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// Constants used by tests.
const (
	FeedGracePeriod = feedGracePeriod
	PieceBytes      = pieceBytes
)

// ConfigFeedWaitFor exports configFeedWaitFor.
var ConfigFeedWaitFor = configFeedWaitFor

// ConfigTracker exports the configurations known to a host.
type ConfigTracker struct {
	tracker *configTracker
}

// NewConfigTracker returns the configurations of a host that has just started.
func NewConfigTracker() ConfigTracker {
	return ConfigTracker{
		tracker: newConfigTracker(),
	}
}

// Offer records that another host has a version of the given size.
func (c ConfigTracker) Offer(v spoolsill.Version, size int, now time.Time) {
	c.tracker.recordOffer("other", configSummary{
		Version: v,
		Size:    size,
	}, now)
}

// Due reports whether a newer version is on offer and should be fetched now.
func (c ConfigTracker) Due(now time.Time) bool {
	_, due, ok := c.tracker.nextFetch(now)
	return ok && due
}

// Set puts a version in force.
func (c ConfigTracker) Set(v spoolsill.Version, now time.Time) {
	c.tracker.set(knownConfig{
		version: v,
	}, now)
}

// SetFeedInvalid records that the last configuration from the store could not be
// decoded.
func (c ConfigTracker) SetFeedInvalid() {
	c.tracker.setFeedInvalid(true)
}

// Confirm records that the store has delivered all changes before now.
func (c ConfigTracker) Confirm(now time.Time) {
	c.tracker.confirm(now)
}

// Confirmed reports whether all changes before some time are known.
func (c ConfigTracker) Confirmed(now time.Time) bool {
	_, ok := c.tracker.age(now)
	return ok
}

// A PartialConfig exports a partially received configuration.
type PartialConfig struct {
	partial partialConfig
}

// Add appends bytes at the beginning of a version.
func (p *PartialConfig) Add(v spoolsill.Version, size, bytes int) {
	p.partial.add(pieceReply{
		Version: v,
		Size:    size,
		Data:    make([]byte, bytes),
	})
}

// Version returns the version that has been received in part.
func (p *PartialConfig) Version() spoolsill.Version {
	return p.partial.version
}

// CallNotMade reports whether a delegate's error proves that it made no call.
func CallNotMade(err error) bool {
	return callNotMade(err)
}

// TicketsOverTheWire returns the tickets that a host decodes from the reply to its
// request, which is sent by a host of this release or, unless inOrder, of an earlier
// one.
func TicketsOverTheWire(inOrder bool, workers []spoolsill.WorkerID, tickets []sched.Ticket) []sched.Ticket {
	q := adviseRequest{
		Workers: workers,
		InOrder: inOrder,
	}
	return adviseReplyOf(q, tickets, time.Second).tickets(workers)
}

// formerHeartbeatReply is the part of a reply to a heartbeat that tells of the share of jobs
// to refuse, in the release before Unmeasured.
type formerHeartbeatReply struct {
	Leads         bool
	Loading       bool
	Refuse        float64
	AnswerLatency time.Duration
}

// ShareReadByFormerRelease returns the share that a host of the release before Unmeasured
// reads from the reply of a leader of this one.
func ShareReadByFormerRelease(share float64, unmeasured bool) (float64, error) {
	var r formerHeartbeatReply
	err := recode(heartbeatReply{
		Leads:      true,
		Loading:    true,
		Refuse:     share,
		Unmeasured: unmeasured,
	}, &r)
	return r.Refuse, err
}

// ShareReadFromFormerRelease returns the share that a host of this release reads from the
// reply of a leader of the one before Unmeasured.
func ShareReadFromFormerRelease(share float64) (float64, error) {
	var r heartbeatReply
	err := recode(formerHeartbeatReply{
		Leads:  true,
		Refuse: share,
	}, &r)
	return r.Refuse, err
}

// recode encodes a value as one release and decodes it as another.
func recode(from, to interface{}) error {
	b, err := msgpack.Marshal(from)
	if err != nil {
		return err
	}
	return msgpack.Unmarshal(b, to)
}
