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

// The methods that hosts call at each other.
const (
	methodBeat     = "beat"
	methodPromise  = "promise"
	methodCopy     = "copy"
	methodCopies   = "copies"
	methodBorrow   = "borrow"
	methodReturn   = "return"
	methodClaim    = "claim"
	methodSettle   = "settle"
	methodConfig   = "config"
	methodMembers  = "members"
	methodTimeline = "timeline"
	methodHost     = "host"
	methodOffer    = "offer"
	methodRelay    = "relay"
	methodCell     = "cell"
)

// peerTimeout bounds a call between hosts that carries no request.
const peerTimeout = time.Second

func (h *Host) handlePeers() {
	peer.Handle(h.node, methodBeat, h.takeBeat)
	peer.Handle(h.node, methodPromise, h.takePromise)
	peer.Handle(h.node, methodCopy, h.takeCopy)
	peer.Handle(h.node, methodCopies, h.takeCopies)
	peer.Handle(h.node, methodBorrow, h.takeBorrow)
	peer.Handle(h.node, methodReturn, h.takeReturn)
	peer.Handle(h.node, methodClaim, h.takeClaim)
	peer.Handle(h.node, methodSettle, h.takeSettle)
	peer.Handle(h.node, methodConfig, h.takeConfigRead)
	peer.Handle(h.node, methodMembers, h.takeMembersRead)
	peer.Handle(h.node, methodTimeline, h.takeTimeline)
	peer.Handle(h.node, methodHost, h.takeHostRead)
	peer.Handle(h.node, methodOffer, h.takeOffer)
	peer.Handle(h.node, methodRelay, h.takeRelay)
	peer.Handle(h.node, methodCell, h.takeCell)
}

// others returns the other hosts of the hall.
func (h *Host) others() []spoolsill.HostID {
	var out []spoolsill.HostID
	for _, x := range h.hallHosts {
		if x != h.settings.Host.ID {
			out = append(out, x)
		}
	}
	return out
}

// call makes a call to a host with the usual time limit.
func call[R, Q any](ctx context.Context, h *Host, to spoolsill.HostID, method string, q Q) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return peer.Call[R](ctx, h.node, to, method, q)
}

type empty struct{}

type wirePromise struct {
	Epoch spoolsill.Epoch `msgpack:"e"`
}

type wireYes struct {
	Yes bool `msgpack:"y"`
}

type wireCopy struct {
	Epoch   spoolsill.Epoch    `msgpack:"e"`
	Stored  spoolsill.Sequence `msgpack:"s"`
	Entries [][]byte           `msgpack:"n"`
	// Leaving says that the sender will be gone soon.
	Leaving bool `msgpack:"g,omitempty"`
	// Whole says that nothing is kept elsewhere in the hall that the sender
	// does not know.
	Whole bool `msgpack:"w,omitempty"`
}

type wireCopies struct {
	Epoch spoolsill.Epoch    `msgpack:"e"`
	Last  recordlog.Position `msgpack:"l"`
}

// holderPeers reaches the hall's other hosts for package holder.
type holderPeers Host

// Promise implements holder.Peers.
func (p *holderPeers) Promise(ctx context.Context, to spoolsill.HostID, e spoolsill.Epoch) bool {
	r, err := call[wireYes](ctx, (*Host)(p), to, methodPromise, wirePromise{
		Epoch: e,
	})
	return err == nil && r.Yes
}

// Copy implements holder.Peers.
func (p *holderPeers) Copy(ctx context.Context, to spoolsill.HostID, e spoolsill.Epoch, stored spoolsill.Sequence, entries []recordlog.Entry) bool {
	return p.send(ctx, to, entries, wireCopy{
		Epoch:  e,
		Stored: stored,
	})
}

// HandOver implements holder.Peers.
func (p *holderPeers) HandOver(ctx context.Context, to spoolsill.HostID, e spoolsill.Epoch, entries []recordlog.Entry) bool {
	return p.send(ctx, to, entries, wireCopy{
		Epoch:   e,
		Leaving: true,
	})
}

func (p *holderPeers) send(ctx context.Context, to spoolsill.HostID, entries []recordlog.Entry, q wireCopy) bool {
	list, err := encodeEntries(entries)
	if err != nil {
		return false
	}
	q.Entries = list
	r, err := call[wireYes](ctx, (*Host)(p), to, methodCopy, q)
	return err == nil && r.Yes
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
func (p *holderPeers) Copies(ctx context.Context, to spoolsill.HostID, last recordlog.Position) (list []recordlog.Entry, whole bool, err error) {
	_, e, _ := p.holder.LeaseHolder()
	r, err := call[wireCopy](ctx, (*Host)(p), to, methodCopies, wireCopies{
		Epoch: e,
		Last:  last,
	})
	if err != nil {
		return nil, false, err
	}
	list, err = decodeEntries(r.Entries)
	return list, r.Whole, err
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

func (h *Host) takePromise(_ context.Context, _ peer.Caller, q wirePromise) (wireYes, error) {
	return wireYes{
		Yes: h.holder.Promise(q.Epoch),
	}, nil
}

func (h *Host) takeCopy(_ context.Context, _ peer.Caller, q wireCopy) (wireYes, error) {
	entries, err := decodeEntries(q.Entries)
	if err != nil {
		return wireYes{}, badInput(err)
	}
	if q.Leaving {
		return wireYes{
			Yes: h.holder.AcceptHandOver(q.Epoch, entries),
		}, nil
	}
	return wireYes{
		Yes: h.holder.KeepCopies(q.Epoch, q.Stored, entries),
	}, nil
}

func (h *Host) takeCopies(_ context.Context, _ peer.Caller, q wireCopies) (wireCopy, error) {
	kept, whole := h.holder.Copies(q.Epoch, q.Last)
	list, err := encodeEntries(kept)
	return wireCopy{
		Entries: list,
		Whole:   whole,
	}, err
}

type wireBorrow struct {
	Service spoolsill.ServiceID `msgpack:"s"`
	Count   int                 `msgpack:"n"`
}

type wireLoans struct {
	Loans []route.Loan `msgpack:"l"`
}

type wireReturn struct {
	Service spoolsill.ServiceID `msgpack:"s"`
	Loans   []route.LoanID      `msgpack:"l"`
}

// slotPeers reaches the hall's other hosts for package router.
type slotPeers Host

// Borrow implements router.Peers.
func (p *slotPeers) Borrow(ctx context.Context, to spoolsill.HostID, s spoolsill.ServiceID, n int) ([]route.Loan, error) {
	r, err := peer.Call[wireLoans](ctx, p.node, to, methodBorrow, wireBorrow{
		Service: s,
		Count:   n,
	})
	return r.Loans, err
}

// Return implements router.Peers.
func (p *slotPeers) Return(ctx context.Context, to spoolsill.HostID, s spoolsill.ServiceID, ids []route.LoanID) {
	_, _ = call[empty](ctx, (*Host)(p), to, methodReturn, wireReturn{
		Service: s,
		Loans:   ids,
	})
}

var errNoService = errors.New("no such service")

func (h *Host) takeBorrow(_ context.Context, _ peer.Caller, q wireBorrow) (wireLoans, error) {
	s, ok := h.services[q.Service]
	if !ok {
		return wireLoans{}, badInput(errNoService)
	}
	return wireLoans{
		Loans: s.router.Lend(q.Count),
	}, nil
}

func (h *Host) takeReturn(_ context.Context, _ peer.Caller, q wireReturn) (empty, error) {
	s, ok := h.services[q.Service]
	if !ok {
		return empty{}, badInput(errNoService)
	}
	s.router.LoansReturned(q.Loans)
	return empty{}, nil
}

func badInput(err error) error {
	return &peer.RemoteError{
		Code: peer.CodeBadInput,
		Text: err.Error(),
	}
}

type wireTimeline struct {
	Filter timeline.Filter `msgpack:"f"`
	Limit  int             `msgpack:"l"`
}

type wireEvents struct {
	Events []timeline.Event `msgpack:"e"`
}

func (h *Host) takeTimeline(_ context.Context, _ peer.Caller, q wireTimeline) (wireEvents, error) {
	return wireEvents{
		Events: h.ring.Select(q.Filter, q.Limit),
	}, nil
}
