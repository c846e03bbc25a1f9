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
	row   bool        // a row of the table was written
	timer *time.Timer // deletes the row when claims are no longer kept
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

// take claims the key of an unrepeatable request; see package claim. Used
// comes with what became of the first request.
func (h *Host) take(ctx context.Context, r spoolsill.Request) (claimed, claim.Judgement, claim.Answer) {
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
		return c, claim.Dispatch, claim.Answer{}
	}
	tally := claim.Tally{
		Hosts: len(c.home.Hosts),
	}
	var first claim.Answer
	for _, x := range c.home.HostIDs() {
		v, err := h.claimAt(ctx, x, c.claim)
		if err != nil {
			continue
		}
		first = v.Answer
		if !tally.Add(v.Verdict) {
			break
		}
	}
	j := tally.Judge()
	if j == claim.AskTable {
		j = h.takeRow(ctx, &c)
	}
	if j != claim.Dispatch {
		h.giveUp(ctx, c)
	}
	return c, j, first
}

func (h *Host) claimAt(ctx context.Context, x spoolsill.HostID, q claim.Claim) (wireVerdict, error) {
	if x == h.settings.Host.ID {
		return h.takeClaim(ctx, peer.Caller{}, q)
	}
	return call[wireVerdict](ctx, h, x, methodClaim, q)
}

// takeRow has the table decide a claim that not every host of the home hall
// could grant.
func (h *Host) takeRow(ctx context.Context, c *claimed) claim.Judgement {
	key := claimPrefix + string(c.claim.Key)
	value, err := msgpack.Marshal(&c.claim.Owner)
	if err != nil {
		return claim.NoHost
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
	if errors.Is(err, table.ErrUnknownOutcome) {
		r, err = h.readClaim(ctx, key)
	}
	if err != nil {
		return claim.NoHost
	}
	if !r.Applied && !h.owns(r.Conflicts, *c) {
		return claim.Used
	}
	c.row = true
	c.timer = h.forgetRow(key)
	return claim.Dispatch
}

// readClaim settles a claim whose answer was lost.
func (h *Host) readClaim(ctx context.Context, key string) (table.Result, error) {
	row, err := h.platform.Get(ctx, key)
	if err != nil {
		return table.Result{}, err
	}
	if row.Version == 0 {
		return table.Result{}, table.ErrUnavailable
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
func (h *Host) forgetRow(key string) *time.Timer {
	return time.AfterFunc(claim.DefaultKeep+2*maxSkew, func() {
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
	// A later claim may write the row again: it must not go at this one's time.
	c.timer.Stop()
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
	for _, x := range c.home.HostIDs() {
		if x == h.settings.Host.ID {
			_, _ = h.takeSettle(ctx, peer.Caller{}, q)
			continue
		}
		_, _ = call[empty](ctx, h, x, methodSettle, q)
	}
}
