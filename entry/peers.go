package entry

import (
	"context"
	"errors"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/peer"
	"github.com/spoolsill/spoolsill/recordlog"
	"github.com/spoolsill/spoolsill/route"
	"github.com/spoolsill/spoolsill/timeline"
)

// Methods of calls between hosts.
const (
	methodHeartbeat    = "beat"
	methodPromise      = "promise"
	methodCopy         = "copy"
	methodCopies       = "copies"
	methodBorrow       = "borrow"
	methodReturn       = "return"
	methodClaim        = "claim"
	methodRecordResult = "settle"
	methodConfig       = "config"
	methodMembers      = "members"
	methodTimeline     = "timeline"
	methodHostStatus   = "host"
	methodOffer        = "offer"
	methodRelay        = "relay"
	methodHolderCall   = "cell"
)

// peerTimeout is the timeout of calls between hosts that do not forward a request;
// see callPeer.
const peerTimeout = time.Second

func (h *Host) registerHandlers() {
	peer.Handle(h.node, methodHeartbeat, h.handleHeartbeat)
	peer.Handle(h.node, methodPromise, h.handlePromise)
	peer.Handle(h.node, methodCopy, h.handleCopy)
	peer.Handle(h.node, methodCopies, h.handleCopies)
	peer.Handle(h.node, methodBorrow, h.handleBorrow)
	peer.Handle(h.node, methodReturn, h.handleReturn)
	peer.Handle(h.node, methodClaim, h.handleClaim)
	peer.Handle(h.node, methodRecordResult, h.handleRecordResult)
	peer.Handle(h.node, methodConfig, h.handleConfigRead)
	peer.Handle(h.node, methodMembers, h.handleMembersRead)
	peer.Handle(h.node, methodTimeline, h.handleTimeline)
	peer.Handle(h.node, methodHostStatus, h.handleHostStatus)
	peer.Handle(h.node, methodOffer, h.handleOffer)
	peer.Handle(h.node, methodRelay, h.handleRelay)
	peer.Handle(h.node, methodHolderCall, h.handleHolderCall)
}

// hallPeers returns the other hosts of the hall.
func (h *Host) hallPeers() []spoolsill.HostID {
	var out []spoolsill.HostID
	for _, x := range h.hallHosts {
		if x != h.settings.Host.ID {
			out = append(out, x)
		}
	}
	return out
}

// callPeer calls a method of another host with a timeout of peerTimeout.
func callPeer[R, Q any](ctx context.Context, h *Host, to spoolsill.HostID, method string, q Q) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return peer.Call[R](ctx, h.node, to, method, q)
}

type empty struct{}

type promiseRequest struct {
	Epoch spoolsill.Epoch `msgpack:"e"`
}

type acceptReply struct {
	Accepted bool `msgpack:"y"`
}

// An entriesMessage is a request to keep copies of entries, or the reply to a
// copiesRequest.
type entriesMessage struct {
	Epoch   spoolsill.Epoch    `msgpack:"e"`
	Stored  spoolsill.Sequence `msgpack:"s"`
	Entries [][]byte           `msgpack:"n"` // encoded by package recordlog
	// HandOver is set if the sender is shutting down and hands over its entries.
	HandOver bool `msgpack:"g,omitempty"`
	// Complete is set if no other host of the hall keeps entries that the
	// sender lacks.
	Complete bool `msgpack:"w,omitempty"`
}

type copiesRequest struct {
	Epoch spoolsill.Epoch    `msgpack:"e"`
	Last  recordlog.Position `msgpack:"l"`
}

// holderPeers implements [holder.Peers] for a host.
type holderPeers Host

// Promise implements holder.Peers.
func (p *holderPeers) Promise(ctx context.Context, to spoolsill.HostID, e spoolsill.Epoch) bool {
	r, err := callPeer[acceptReply](ctx, (*Host)(p), to, methodPromise, promiseRequest{
		Epoch: e,
	})
	return err == nil && r.Accepted
}

// Copy implements holder.Peers.
func (p *holderPeers) Copy(ctx context.Context, to spoolsill.HostID, e spoolsill.Epoch, stored spoolsill.Sequence, entries []recordlog.Entry) bool {
	return p.send(ctx, to, entries, entriesMessage{
		Epoch:  e,
		Stored: stored,
	})
}

// HandOver implements holder.Peers.
func (p *holderPeers) HandOver(ctx context.Context, to spoolsill.HostID, e spoolsill.Epoch, entries []recordlog.Entry) bool {
	return p.send(ctx, to, entries, entriesMessage{
		Epoch:    e,
		HandOver: true,
	})
}

func (p *holderPeers) send(ctx context.Context, to spoolsill.HostID, entries []recordlog.Entry, q entriesMessage) bool {
	list, err := encodeEntries(entries)
	if err != nil {
		return false
	}
	q.Entries = list
	r, err := callPeer[acceptReply](ctx, (*Host)(p), to, methodCopy, q)
	return err == nil && r.Accepted
}

func encodeEntries(list []recordlog.Entry) ([][]byte, error) {
	out := make([][]byte, 0, len(list))
	for _, e := range list {
		b, err := recordlog.Encode(e)
		if err != nil {
			return nil, err
		}
		out = append(out, b)
	}
	return out, nil
}

// Copies implements holder.Peers.
func (p *holderPeers) Copies(ctx context.Context, to spoolsill.HostID, last recordlog.Position) (list []recordlog.Entry, complete bool, err error) {
	_, e, _ := p.holder.LeaseHolder()
	r, err := callPeer[entriesMessage](ctx, (*Host)(p), to, methodCopies, copiesRequest{
		Epoch: e,
		Last:  last,
	})
	if err != nil {
		return nil, false, err
	}
	list, err = decodeEntries(r.Entries)
	return list, r.Complete, err
}

func decodeEntries(list [][]byte) ([]recordlog.Entry, error) {
	out := make([]recordlog.Entry, 0, len(list))
	for _, b := range list {
		e, err := recordlog.Decode(b)
		if err != nil {
			return nil, err
		}
		out = append(out, e)
	}
	return out, nil
}

func (h *Host) handlePromise(_ context.Context, _ peer.Caller, q promiseRequest) (acceptReply, error) {
	return acceptReply{
		Accepted: h.holder.Promise(q.Epoch),
	}, nil
}

func (h *Host) handleCopy(_ context.Context, _ peer.Caller, q entriesMessage) (acceptReply, error) {
	entries, err := decodeEntries(q.Entries)
	if err != nil {
		return acceptReply{}, badInput(err)
	}
	if q.HandOver {
		return acceptReply{
			Accepted: h.holder.AcceptHandOver(q.Epoch, entries),
		}, nil
	}
	return acceptReply{
		Accepted: h.holder.KeepCopies(q.Epoch, q.Stored, entries),
	}, nil
}

func (h *Host) handleCopies(_ context.Context, _ peer.Caller, q copiesRequest) (entriesMessage, error) {
	kept, complete := h.holder.Copies(q.Epoch, q.Last)
	list, err := encodeEntries(kept)
	return entriesMessage{
		Entries:  list,
		Complete: complete,
	}, err
}

type borrowRequest struct {
	Service spoolsill.ServiceID `msgpack:"s"`
	Count   int                 `msgpack:"n"`
}

type borrowReply struct {
	Loans []route.Loan `msgpack:"l"`
}

type returnRequest struct {
	Service spoolsill.ServiceID `msgpack:"s"`
	Loans   []route.LoanID      `msgpack:"l"`
}

// slotPeers implements [router.Peers] for a host.
type slotPeers Host

// Borrow implements router.Peers.
func (p *slotPeers) Borrow(ctx context.Context, to spoolsill.HostID, s spoolsill.ServiceID, n int) ([]route.Loan, error) {
	r, err := peer.Call[borrowReply](ctx, p.node, to, methodBorrow, borrowRequest{
		Service: s,
		Count:   n,
	})
	return r.Loans, err
}

// Return implements router.Peers.
func (p *slotPeers) Return(ctx context.Context, to spoolsill.HostID, s spoolsill.ServiceID, ids []route.LoanID) {
	_, _ = callPeer[empty](ctx, (*Host)(p), to, methodReturn, returnRequest{
		Service: s,
		Loans:   ids,
	})
}

var errUnknownService = errors.New("no such service")

func (h *Host) handleBorrow(_ context.Context, _ peer.Caller, q borrowRequest) (borrowReply, error) {
	s, ok := h.services[q.Service]
	if !ok {
		return borrowReply{}, badInput(errUnknownService)
	}
	return borrowReply{
		Loans: s.router.Lend(q.Count),
	}, nil
}

func (h *Host) handleReturn(_ context.Context, _ peer.Caller, q returnRequest) (empty, error) {
	s, ok := h.services[q.Service]
	if !ok {
		return empty{}, badInput(errUnknownService)
	}
	s.router.LoansReturned(q.Loans)
	return empty{}, nil
}

// badInput returns err as a [*peer.RemoteError] with [peer.CodeBadInput].
func badInput(err error) error {
	return &peer.RemoteError{
		Code: peer.CodeBadInput,
		Text: err.Error(),
	}
}

type timelineRequest struct {
	Filter timeline.Filter `msgpack:"f"`
	Limit  int             `msgpack:"l"`
}

type timelineReply struct {
	Events []timeline.Event `msgpack:"e"`
}

func (h *Host) handleTimeline(_ context.Context, _ peer.Caller, q timelineRequest) (timelineReply, error) {
	return timelineReply{
		Events: h.ring.Select(q.Filter, q.Limit),
	}, nil
}
