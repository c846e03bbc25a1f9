package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/jobstore"
	"github.com/spoolsill/spoolsill/leader"
	"github.com/spoolsill/spoolsill/peer"
	"github.com/spoolsill/spoolsill/sched"
)

const (
	// specShort is up to how many bytes a job's spec is sent with each order: naming it
	// takes some 50.
	specShort = 100
	// specsBytes bounds the specs that a host keeps, a hundredth of the memory of the
	// smallest: those of some thousand jobs.
	specsBytes = 1 << 20
	// specTimeout is how long a delegate waits for a spec. A host with a link of 2 Mbit/s
	// needs 0.16 s to tell ten others one of 4 KB. The leader sends it when the delegate
	// has not got it by then.
	specTimeout = 300 * time.Millisecond
	// specElsewhere is for how long delegates are not sent to a host for the specs of its
	// jobs once one has not had a spec from there.
	specElsewhere = time.Second
)

// A specID names a job's spec. Two jobs of one id, which clients choose, may differ in it.
type specID struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads it

	Job spoolsill.JobID
	Sum uint64
}

func specIDOf(job spoolsill.JobID, spec string) specID {
	return specID{
		Job: job,
		Sum: xxhash.Sum64String(spec),
	}
}

// A specCache has specs of jobs, those that came last. It answers a load of wide jobs: a
// gang of 100 tasks with a spec of 4 KB takes a link of 2 Mbit/s 1.6 s when the leader
// sends the spec with each order, and other hosts took it for dead meanwhile. The host
// that accepted the job tells it to each delegate once.
type specCache struct {
	mu    sync.Mutex
	specs map[specID]string
	order []specID // oldest first
	bytes int
}

func (c *specCache) add(id specID, spec string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.specs[id]; ok || len(spec) > specsBytes {
		return
	}
	if c.specs == nil {
		c.specs = map[specID]string{}
	}
	c.specs[id] = spec
	c.order = append(c.order, id)
	c.bytes += len(spec)
	for c.bytes > specsBytes {
		c.bytes -= len(c.specs[c.order[0]])
		delete(c.specs, c.order[0])
		c.order = c.order[1:]
	}
}

func (c *specCache) get(id specID) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.specs[id]
	return s, ok
}

// keepSpec keeps the spec of a job that this host has accepted, for delegates.
func (n *Node) keepSpec(j sched.Job) {
	if len(j.Spec) > specShort {
		n.specs.add(specIDOf(j.ID, j.Spec), j.Spec)
	}
}

type specRequest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads it

	Spec specID
}

type specReply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads it

	Known bool
	Spec  string
}

func (n *Node) specAsked(_ context.Context, _ peer.Caller, q specRequest) (specReply, error) {
	s, ok := n.specs.get(q.Spec)
	return specReply{
		Known: ok,
		Spec:  s,
	}, nil
}

// A startOfRequest is a startRequest without its spec, which another host has: the one
// whose partition of the store keeps the job. Without an Address it is read from there.
type startOfRequest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads it

	Start   startRequest
	Spec    specID
	Host    spoolsill.HostID
	Address string
}

type startOfReply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads it

	Reply orderReply
	// NoSpec tells that the spec was not had, so that no call was made.
	NoSpec bool
}

func (n *Node) startOfAsked(ctx context.Context, _ peer.Caller, q startOfRequest) (startOfReply, error) {
	spec, err := n.specOf(ctx, q)
	if err != nil {
		n.log.WithError(err).WithField("job", string(q.Spec.Job)).WithField("from", string(q.Host)).Info("spec was not had")
		return startOfReply{
			NoSpec: true,
		}, nil
	}
	o := q.Start.start()
	o.Order.Spec = spec
	return startOfReply{
		Reply: orderReplyOf(n.workers.Start(ctx, o)),
	}, nil
}

var errNoSpec = errors.New("node: the host does not have the spec")

// specOf returns the spec of an order, from the host that has it unless it is here.
// Orders of one job wait for one answer.
func (n *Node) specOf(ctx context.Context, q startOfRequest) (string, error) {
	if s, ok := n.specs.get(q.Spec); ok {
		return s, nil
	}
	c := n.fetching.DoChan(string(q.Spec.Job), func() (any, error) {
		// The order that asks first may be given up while others wait.
		return nil, n.fetchSpec(context.WithoutCancel(ctx), q)
	})
	select {
	case <-ctx.Done():
		return "", ctx.Err()
	case r := <-c:
		if r.Err != nil {
			return "", r.Err
		}
	}
	if s, ok := n.specs.get(q.Spec); ok {
		return s, nil
	}
	return "", errNoSpec // another job of this id was asked for
}

// fetchSpec has the spec of an order kept here. A host that has started anew does not
// have it any more; the store has it for as long as its job is wanted.
func (n *Node) fetchSpec(ctx context.Context, q startOfRequest) error {
	ctx, cancel := context.WithTimeout(ctx, specTimeout)
	defer cancel()
	if q.Address == "" {
		return n.readSpec(ctx, q)
	}
	lost := n.askSpec(ctx, q)
	if lost == nil {
		return nil
	}
	if err := n.readSpec(ctx, q); err != nil {
		return errors.Join(lost, err)
	}
	return nil
}

// readSpec reads the spec of an order from the store.
func (n *Node) readSpec(ctx context.Context, q startOfRequest) error {
	j, err := jobstore.Read(ctx, n.store, string(q.Host), q.Spec.Job)
	if err != nil {
		return err
	}
	if specIDOf(j.ID, j.Spec) != q.Spec {
		return errNoSpec
	}
	n.specs.add(q.Spec, j.Spec)
	return nil
}

// askSpec has the spec of an order from the host that accepted its job.
func (n *Node) askSpec(ctx context.Context, q startOfRequest) error {
	n.peers.SetAddress(q.Host, q.Address)
	r, err := peer.Call[specReply](ctx, n.peers, q.Host, methodSpec, specRequest{
		Spec: q.Spec,
	})
	if err != nil {
		return err
	}
	if !r.Known || specIDOf(q.Spec.Job, r.Spec) != q.Spec {
		return errNoSpec
	}
	n.specs.add(q.Spec, r.Spec)
	return nil
}

// specHosts are the hosts that leaders name to delegates for specs.
type specHosts struct {
	mu sync.Mutex
	// failed is when a delegate last had no spec from a host.
	failed map[spoolsill.HostID]time.Time
}

func (s *specHosts) fail(h spoolsill.HostID, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed == nil {
		s.failed = map[spoolsill.HostID]time.Time{}
	}
	s.failed[h] = now
}

func (s *specHosts) well(h spoolsill.HostID, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.failed[h]
	return !ok || now.Sub(at) >= specElsewhere
}

// specAddress returns where the host that accepted a job is asked for its spec; empty when
// it is not known to have it.
func (d *delegatedWorkers) specAddress(h spoolsill.HostID, id specID) string {
	if h == d.node.settings.Host {
		if _, ok := d.node.specs.get(id); !ok {
			return ""
		}
		return d.node.peerAddress()
	}
	now := d.node.clock.Now()
	address, ok := d.node.hosts.specsAt(h, d.node.silentSince(now))
	if !ok || !d.specs.well(h, now) {
		return ""
	}
	return address
}

// startOf returns an order without its spec, if that is worth it and a delegate can have
// the spec from somewhere else.
func (d *delegatedWorkers) startOf(delegate spoolsill.HostID, o leader.Start) (startOfRequest, bool) {
	h := spoolsill.HostID(o.Keeper)
	if len(o.Order.Spec) <= specShort || h == "" || !d.node.hosts.fetchesSpecs(delegate) {
		return startOfRequest{}, false
	}
	id := specIDOf(o.Order.Run.Task.Stage.Job, o.Order.Spec)
	address := d.specAddress(h, id)
	if address == "" && !d.node.hosts.readsSpecs(delegate) {
		return startOfRequest{}, false
	}
	q := startOfRequest{
		Start:   startRequestOf(o),
		Spec:    id,
		Host:    h,
		Address: address,
	}
	q.Start.Spec = ""
	return q, true
}
