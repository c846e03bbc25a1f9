package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/leader"
	"github.com/spoolsill/spoolsill/peer"
	"github.com/spoolsill/spoolsill/sched"
)

// The types below represent a call that renews the leases of many workers without runs. A
// delegate remembers the targets of earlier calls by the numbers that the leader gave them, so
// that an idle worker takes some twenty bytes of the leader's link per call.

type renewGroupRequest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads it

	Epoch   spoolsill.Epoch
	Targets []numberedTarget // those that the delegate may not know yet
	Items   []renewGroupItem
	Within  time.Duration
}

type numberedTarget struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads it

	Number targetNumber
	Target wireTarget
	Born   spoolsill.StartTime
}

type renewGroupItem struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads it

	Number   targetNumber
	Deadline sched.ClockMillis
	LastSeen uint64
}

type renewGroupReply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads it

	// Unknown is set if no worker was called, since the delegate lacks one of the targets.
	Unknown bool
	Answers []renewGroupAnswer // in the order of the items
}

type renewGroupAnswer struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads it

	Clock sched.ClockMillis
	Age   int64 // milliseconds from the answer to the reply
	// Other is set unless the intended incarnation answered and has neither runs nor ends.
	Other *renewIncarnationReply
}

// errUnknownTargets is returned for a delegate that does not know the targets that it was just
// sent.
var errUnknownTargets = errors.New("node: delegate does not know its targets")

// Route implements [leader.GroupRenewer]. The route is the delegate's host.
func (d *delegatedWorkers) Route(t leader.Target) string {
	h, ok := d.delegateFor(t)
	if !ok || !d.node.hosts.renewsGroups(h) {
		return ""
	}
	return string(h)
}

// RenewGroup implements [leader.GroupRenewer].
func (d *delegatedWorkers) RenewGroup(ctx context.Context, route string, rs []leader.Renewal) []leader.GroupAnswer {
	h := spoolsill.HostID(route)
	callCtx, cancel := context.WithTimeout(ctx, 2*rs[0].Timeout+delegateOverhead)
	defer cancel()
	r, err := d.callGroup(callCtx, h, rs)
	if err != nil && ctx.Err() == nil {
		d.markFailed(h, len(rs), err)
	}
	answers := make([]leader.GroupAnswer, len(rs))
	for i, l := range rs {
		if err != nil || i >= len(r.Answers) {
			answers[i].Reply = noAnswerReply(err).reply()
		} else {
			answers[i] = r.Answers[i].answer(l)
		}
		d.recordReply(l.Worker, answers[i].Reply.Kind)
	}
	return answers
}

// callGroup makes the call, again with all targets if the delegate does not know them.
func (d *delegatedWorkers) callGroup(ctx context.Context, h spoolsill.HostID, rs []leader.Renewal) (renewGroupReply, error) {
	var r renewGroupReply
	for range 2 {
		q := d.numbers.request(h, rs)
		var err error
		r, err = peer.Call[renewGroupReply](ctx, d.node.peers, h, methodRenewGroup, q)
		if err != nil {
			d.numbers.forget(h) // it may have restarted
			return r, err
		}
		if !r.Unknown {
			d.numbers.learned(h, q)
			return r, nil
		}
		d.numbers.forget(h)
	}
	return r, errUnknownTargets
}

func (a renewGroupAnswer) answer(l leader.Renewal) leader.GroupAnswer {
	x := leader.GroupAnswer{
		Age: time.Duration(a.Age) * time.Millisecond,
	}
	if a.Other == nil {
		x.Reply = leader.Reply{
			Kind:  leader.Accepted,
			Clock: a.Clock,
		}
		x.Heartbeat = sched.Heartbeat{
			WorkerIncarnation: l.WorkerIncarnation,
			Clock:             a.Clock,
		}
		return x
	}
	answered := spoolsill.WorkerIncarnation{
		Worker:    l.Worker,
		StartTime: a.Other.Born,
	}
	x.Reply = a.Other.Renew.Reply.reply()
	x.Heartbeat = a.Other.Renew.heartbeat(answered, time.Time{})
	return x
}

// handleRenewGroup renews the leases of a group of workers concurrently. A worker that does not
// answer delays the reply by the timeout of a renewal.
func (n *Node) handleRenewGroup(ctx context.Context, c peer.Caller, q renewGroupRequest) (renewGroupReply, error) {
	targets, ok := n.groupTargets.resolve(c, q)
	if !ok {
		return renewGroupReply{
			Unknown: true,
		}, nil
	}
	r := renewGroupReply{
		Answers: make([]renewGroupAnswer, len(targets)),
	}
	answeredAt := make([]time.Time, len(targets))
	var calls sync.WaitGroup
	for i, t := range targets {
		calls.Go(func() {
			r.Answers[i] = n.renewIdle(ctx, t, q.Items[i], q.Within)
			answeredAt[i] = n.clock.Now()
		})
	}
	calls.Wait()
	for i, at := range answeredAt {
		r.Answers[i].Age = n.clock.Since(at).Milliseconds()
	}
	return r, nil
}

func (n *Node) renewIdle(ctx context.Context, t numberedTarget, x renewGroupItem, within time.Duration) renewGroupAnswer {
	h, r := n.workers.Renew(ctx, leader.Renewal{
		Target:    t.Target.target(),
		Fence:     t.Target.Fence,
		Deadline:  x.Deadline,
		LastAcked: x.LastSeen,
		Timeout:   within,
	})
	if r.Kind == leader.Accepted && h.StartTime == t.Born && len(h.Running) == 0 && len(h.Ended) == 0 {
		return renewGroupAnswer{
			Clock: h.Clock,
		}
	}
	return renewGroupAnswer{
		Clock: r.Clock,
		Other: &renewIncarnationReply{
			Born:  h.StartTime,
			Renew: renewReplyOf(h, r),
		},
	}
}
