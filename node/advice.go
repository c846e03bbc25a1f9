package node

import (
	"context"
	"errors"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/peer"
	"github.com/spoolsill/spoolsill/sched"
)

type adviseRequest struct {
	Stage   sched.StageID
	Workers []spoolsill.WorkerID
	// InOrder requests the tickets in the order of Workers, so that the reply need not
	// repeat the worker ids. Hosts of earlier releases do not set it and expect the ids.
	InOrder bool
}

type adviseReply struct {
	// Tickets is set by hosts of earlier releases and in replies to them.
	Tickets []wireTicket
	Valid   time.Duration
	// Texts holds the tickets in the order of the request's workers, with an empty
	// string for each worker without a ticket.
	Texts []string
}

// A wireTicket is a [sched.Ticket] encoded as an array, which hosts of the previous
// release can decode as well. A reply contains dozens of tickets, and field names would
// take a third of its bytes.
type wireTicket struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads it

	Worker spoolsill.WorkerID
	Text   string
}

// tickets returns the tickets for the workers in the request.
func (r adviseReply) tickets(workers []spoolsill.WorkerID) []sched.Ticket {
	ts := make([]sched.Ticket, 0, max(len(r.Tickets), len(r.Texts)))
	for _, t := range r.Tickets {
		ts = append(ts, sched.Ticket{
			Worker: t.Worker,
			Text:   t.Text,
		})
	}
	for i, text := range r.Texts {
		if text == "" || i >= len(workers) {
			continue
		}
		ts = append(ts, sched.Ticket{
			Worker: workers[i],
			Text:   text,
		})
	}
	return ts
}

// adviseReplyOf returns the reply to a request from a host of this or an earlier
// release.
func adviseReplyOf(q adviseRequest, ts []sched.Ticket, valid time.Duration) adviseReply {
	r := adviseReply{
		Valid: valid,
	}
	if !q.InOrder {
		for _, t := range ts {
			r.Tickets = append(r.Tickets, wireTicket{
				Worker: t.Worker,
				Text:   t.Text,
			})
		}
		return r
	}
	texts := make(map[spoolsill.WorkerID]string, len(ts))
	for _, t := range ts {
		texts[t.Worker] = t.Text
	}
	r.Texts = make([]string, len(q.Workers))
	for i, w := range q.Workers {
		r.Texts[i] = texts[w]
	}
	return r
}

func (n *Node) handleAdvise(ctx context.Context, _ peer.Caller, q adviseRequest) (adviseReply, error) {
	if n.advisor == nil {
		return adviseReply{}, errors.New("node: no advisor is configured")
	}
	ts, valid, err := n.advisor.Advise(ctx, q.Stage, q.Workers)
	return adviseReplyOf(q, ts, valid), err
}

// Hosts implements [leader.Advisor].
func (n *Node) Hosts() []spoolsill.HostID {
	return append(n.hosts.activeSince(n.silenceCutoff(n.clock.Now())), n.settings.Host)
}

// Ask implements [leader.Advisor].
func (n *Node) Ask(ctx context.Context, h spoolsill.HostID, stage sched.StageID, workers []spoolsill.WorkerID) ([]sched.Ticket, time.Duration, error) {
	q := adviseRequest{
		Stage:   stage,
		Workers: workers,
		InOrder: true,
	}
	if h == n.settings.Host {
		r, err := n.handleAdvise(ctx, peer.Caller{}, q)
		return r.tickets(workers), r.Valid, err
	}
	r, err := peer.Call[adviseReply](ctx, n.peers, h, methodAdvise, q)
	return r.tickets(workers), r.Valid, err
}
