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
	// maxInlineSpec is the size in bytes up to which a spec is sent with each order: a
	// reference to it takes about 50 bytes.
	maxInlineSpec = 100
	// maxSpecCacheBytes limits the size of the cached specs to about a hundredth of the
	// memory of the smallest host. It is enough for about a thousand jobs.
	maxSpecCacheBytes = 1 << 20
	// specTimeout is how long a delegate waits for a spec. A host with a link of 2
	// Mbit/s takes 0.16 s to send a spec of 4 KB to ten others. If the delegate does
	// not receive the spec in time, the leader sends it.
	specTimeout = 300 * time.Millisecond
	// specHostRetryDelay is how long the leader does not refer delegates to a host
	// after one of them could not obtain a spec from it.
	specHostRetryDelay = time.Second
)

// A specID identifies a spec. Clients choose job ids, and two jobs with the same id may
// have different specs.
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

// A specCache holds the specs of recent jobs, so that the host that accepted a job sends
// its spec once to each delegate. If the leader sent the spec with each order instead, a
// gang of 100 tasks with a spec of 4 KB would occupy a link of 2 Mbit/s for 1.6 s, and
// other hosts would consider the leader dead.
type specCache struct {
	mu    sync.Mutex
	specs map[specID]string
	order []specID // oldest first
	bytes int
}

func (c *specCache) add(id specID, spec string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.specs[id]; ok || len(spec) > maxSpecCacheBytes {
		return
	}
	if c.specs == nil {
		c.specs = map[specID]string{}
	}
	c.specs[id] = spec
	c.order = append(c.order, id)
	c.bytes += len(spec)
	for c.bytes > maxSpecCacheBytes {
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

// cacheSpec caches the spec of a job that this host has accepted, for use by delegates.
func (n *Node) cacheSpec(j sched.Job) {
	if len(j.Spec) > maxInlineSpec {
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

func (n *Node) handleSpec(_ context.Context, _ peer.Caller, q specRequest) (specReply, error) {
	s, ok := n.specs.get(q.Spec)
	return specReply{
		Known: ok,
		Spec:  s,
	}, nil
}

// A startByRefRequest is a startRequest with a reference to its spec. The delegate
// requests the spec from Host, which accepted the job. If Address is empty or the request
// fails, the delegate reads the spec from that host's partition of the store.
type startByRefRequest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads it

	Start   startRequest
	Spec    specID
	Host    spoolsill.HostID
	Address string
}

type startByRefReply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads it

	Reply orderReply
	// NoSpec is set if the spec could not be obtained and the worker was not called.
	NoSpec bool
}

func (n *Node) handleStartByRef(ctx context.Context, _ peer.Caller, q startByRefRequest) (startByRefReply, error) {
	spec, err := n.resolveSpec(ctx, q)
	if err != nil {
		n.log.WithError(err).WithField("job", string(q.Spec.Job)).WithField("from", string(q.Host)).Info("spec was not had")
		return startByRefReply{
			NoSpec: true,
		}, nil
	}
	o := q.Start.start()
	o.Order.Spec = spec
	return startByRefReply{
		Reply: orderReplyOf(n.workers.Start(ctx, o)),
	}, nil
}

var errNoSpec = errors.New("node: host does not have the spec")

// resolveSpec returns the spec of an order from the cache, after fetching it if
// necessary. Concurrent orders of one job share one fetch.
func (n *Node) resolveSpec(ctx context.Context, q startByRefRequest) (string, error) {
	if s, ok := n.specs.get(q.Spec); ok {
		return s, nil
	}
	c := n.specFetches.DoChan(string(q.Spec.Job), func() (any, error) {
		// The first order may be cancelled while others wait.
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
	return "", errNoSpec // the fetch was for another job with the same id
}

// fetchSpec fetches the spec of an order into the cache. A host that has been restarted
// no longer has it cached; the store holds it for as long as the job is needed.
func (n *Node) fetchSpec(ctx context.Context, q startByRefRequest) error {
	ctx, cancel := context.WithTimeout(ctx, specTimeout)
	defer cancel()
	if q.Address == "" {
		return n.readStoredSpec(ctx, q)
	}
	requestErr := n.requestSpec(ctx, q)
	if requestErr == nil {
		return nil
	}
	if err := n.readStoredSpec(ctx, q); err != nil {
		return errors.Join(requestErr, err)
	}
	return nil
}

// readStoredSpec reads the spec of an order from the store into the cache.
func (n *Node) readStoredSpec(ctx context.Context, q startByRefRequest) error {
	j, err := jobstore.ReadJob(ctx, n.store, string(q.Host), q.Spec.Job)
	if err != nil {
		return err
	}
	if specIDOf(j.ID, j.Spec) != q.Spec {
		return errNoSpec
	}
	n.specs.add(q.Spec, j.Spec)
	return nil
}

// requestSpec requests the spec of an order from the host that accepted the job.
func (n *Node) requestSpec(ctx context.Context, q startByRefRequest) error {
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

// specHosts tracks the hosts from which delegates failed to obtain specs.
type specHosts struct {
	mu sync.Mutex
	// failed is when a delegate last failed to obtain a spec from a host.
	failed map[spoolsill.HostID]time.Time
}

func (s *specHosts) markFailed(h spoolsill.HostID, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed == nil {
		s.failed = map[spoolsill.HostID]time.Time{}
	}
	s.failed[h] = now
}

func (s *specHosts) usable(h spoolsill.HostID, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.failed[h]
	return !ok || now.Sub(at) >= specHostRetryDelay
}

// specAddress returns the address of the host that accepted a job, or an empty string
// if the host is not known to have the spec.
func (d *delegatedWorkers) specAddress(h spoolsill.HostID, id specID) string {
	if h == d.node.settings.Host {
		if _, ok := d.node.specs.get(id); !ok {
			return ""
		}
		return d.node.peerAddress()
	}
	now := d.node.clock.Now()
	address, ok := d.node.hosts.specSource(h, d.node.silenceCutoff(now))
	if !ok || !d.specs.usable(h, now) {
		return ""
	}
	return address
}

// startByRef returns an order with a reference in place of its spec. It reports false if
// the spec is too short for that, or if the delegate could not obtain it.
func (d *delegatedWorkers) startByRef(delegate spoolsill.HostID, o leader.Start) (startByRefRequest, bool) {
	h := spoolsill.HostID(o.Keeper)
	if len(o.Order.Spec) <= maxInlineSpec || h == "" || !d.node.hosts.fetchesSpecs(delegate) {
		return startByRefRequest{}, false
	}
	id := specIDOf(o.Order.Run.Task.Stage.Job, o.Order.Spec)
	address := d.specAddress(h, id)
	if address == "" && !d.node.hosts.readsStoredSpecs(delegate) {
		return startByRefRequest{}, false
	}
	q := startByRefRequest{
		Start:   startRequestOf(o),
		Spec:    id,
		Host:    h,
		Address: address,
	}
	q.Start.Spec = ""
	return q, true
}
