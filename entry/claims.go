package entry

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/claim"
	"github.com/spoolsill/spoolsill/peer"
	"github.com/spoolsill/spoolsill/settings"
	"github.com/spoolsill/spoolsill/table"
)

// maxSkew is how far the clock of a caller or of another host may be off.
const maxSkew = 2 * time.Second

// claimPrefix starts the keys of claim rows.
const claimPrefix = "claim/"

type wireVerdict struct {
	Verdict claim.Verdict `msgpack:"v"`
	Answer  claim.Answer  `msgpack:"a"`
}

type wireSettle struct {
	Key    spoolsill.RequestKey `msgpack:"k"`
	Owner  claim.Owner          `msgpack:"o"`
	Answer claim.Answer         `msgpack:"a"`
}

func (h *Host) takeClaim(_ context.Context, _ peer.Caller, q claim.Claim) (wireVerdict, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v, a := h.ledger.Take(time.Now(), q)
	return wireVerdict{
		Verdict: v,
		Answer:  a,
	}, nil
}

func (h *Host) takeSettle(_ context.Context, _ peer.Caller, q wireSettle) (empty, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ledger.Settle(q.Key, q.Owner, q.Answer)
	return empty{}, nil
}

// A claimed is a key that was asked for, and with whom.
type claimed struct {
	claim claim.Claim
	home  settings.Hall
	row   bool // a row of the table was written
}

// homeHall returns the hall that keeps the claim of a key: the one that the
// key names, else one that follows from the key alone.
func (h *Host) homeHall(k spoolsill.RequestKey) settings.Hall {
	named := k.HomeHall()
	var best settings.Hall
	var most uint64
	for _, x := range h.settings.Halls {
		if x.ID == named {
			return x
		}
		n := xxhash.Sum64String(string(k) + "@" + string(x.ID))
		if best.ID == "" || n > most {
			best = x
			most = n
		}
	}
	return best
}

// take claims the key of an unrepeatable request. With Granted the request
// may be dispatched; see package claim for the rest.
//
// Every host of the home hall is asked, the first one first, so that two who
// claim at once don't each win one. A key that all of them grant was never
// granted before, or one of them would know. When some can't be reached or
// have restarted since the key was made, a row of the table decides besides;
// when none of them can know, nobody can.
func (h *Host) take(ctx context.Context, r spoolsill.Request) (claimed, claim.Verdict, claim.Answer) {
	c := claimed{
		home: h.homeHall(r.Key),
		claim: claim.Claim{
			Key:    r.Key,
			Issued: r.Issued,
			Owner: claim.Owner{
				Host:  h.settings.Host.ID,
				Life:  h.incarnation,
				Nonce: h.nonces.Add(1),
			},
		},
	}
	if h.config.Break.Claim {
		return c, claim.Granted, claim.Answer{}
	}
	granted, unsure := 0, 0
	for _, x := range c.home.IDs() {
		v, err := h.claimAt(ctx, x, c.claim)
		switch {
		case err != nil:
		case v.Verdict == claim.Granted:
			granted++
		case v.Verdict == claim.Unsure:
			unsure++
		default:
			h.giveUp(ctx, c)
			return c, v.Verdict, v.Answer
		}
	}
	switch {
	case granted == len(c.home.Hosts):
		return c, claim.Granted, claim.Answer{}
	case granted > 0:
		return h.takeRow(ctx, c)
	case unsure > 0:
		return c, claim.Unsure, claim.Answer{}
	default:
		return c, claim.Full, claim.Answer{}
	}
}

func (h *Host) claimAt(ctx context.Context, x spoolsill.HostID, q claim.Claim) (wireVerdict, error) {
	if x == h.settings.Host.ID {
		return h.takeClaim(ctx, peer.Caller{}, q)
	}
	return call[wireVerdict](ctx, h, x, methodClaim, q)
}

// takeRow has the table decide a claim that not every host of the home hall
// could grant.
func (h *Host) takeRow(ctx context.Context, c claimed) (claimed, claim.Verdict, claim.Answer) {
	key := claimPrefix + string(c.claim.Key)
	value, err := msgpack.Marshal(&c.claim.Owner)
	if err != nil {
		h.giveUp(ctx, c)
		return c, claim.Full, claim.Answer{}
	}
	r, err := h.platform.Commit(ctx, table.Txn{
		Conditions: []table.Condition{{
			Key: key,
		}},
		Puts: []table.Put{{
			Key:   key,
			Value: value,
		}},
	})
	if errors.Is(err, table.ErrLost) {
		r, err = h.readClaim(ctx, key)
	}
	if err != nil {
		h.giveUp(ctx, c)
		return c, claim.Full, claim.Answer{}
	}
	if r.Applied || h.owns(r.Conflicts, c) {
		c.row = true
		h.forgetRow(key)
		return c, claim.Granted, claim.Answer{}
	}
	h.giveUp(ctx, c)
	return c, claim.Taken, claim.Answer{}
}

// readClaim settles a claim whose answer was lost.
func (h *Host) readClaim(ctx context.Context, key string) (table.Result, error) {
	row, err := h.platform.Get(ctx, key)
	if err != nil {
		return table.Result{}, err
	}
	if row.Version == 0 {
		return table.Result{}, table.ErrDown
	}
	return table.Result{
		Conflicts: []table.Row{row},
	}, nil
}

func (h *Host) owns(rows []table.Row, c claimed) bool {
	for _, r := range rows {
		var o claim.Owner
		if err := msgpack.Unmarshal(r.Value, &o); err != nil || o != c.claim.Owner {
			return false
		}
	}
	return len(rows) > 0
}

// forgetRow deletes a claim row after claims are no longer kept.
func (h *Host) forgetRow(key string) {
	time.AfterFunc(claim.DefaultKeep+2*maxSkew, func() {
		ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
		defer cancel()
		_, _ = h.platform.Commit(ctx, table.Txn{
			Deletes: []string{key},
		})
	})
}

// giveUp frees what was claimed for a request that certainly did not run, so
// that its caller may ask again.
func (h *Host) giveUp(ctx context.Context, c claimed) {
	h.tell(ctx, c, claim.Answer{
		Outcome: spoolsill.NotRun,
	})
	if !c.row {
		return
	}
	key := claimPrefix + string(c.claim.Key)
	_, _ = h.platform.Commit(ctx, table.Txn{
		Conditions: []table.Condition{{
			Key:     key,
			Version: 1,
		}},
		Deletes: []string{key},
	})
}

// tell tells the hosts of the home hall what became of a claimed request.
func (h *Host) tell(ctx context.Context, c claimed, a claim.Answer) {
	if len(a.Body) > claim.MaxBody {
		a.Body = nil
	}
	q := wireSettle{
		Key:    c.claim.Key,
		Owner:  c.claim.Owner,
		Answer: a,
	}
	ctx = context.WithoutCancel(ctx)
	for _, x := range c.home.IDs() {
		if x == h.settings.Host.ID {
			_, _ = h.takeSettle(ctx, peer.Caller{}, q)
			continue
		}
		_, _ = call[empty](ctx, h, x, methodSettle, q)
	}
}
