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

// maxClockSkew is the largest clock error of a caller or of another host that
// is tolerated.
const maxClockSkew = 2 * time.Second

// claimKeyPrefix is the prefix of the row keys of claims.
const claimKeyPrefix = "claim/"

type claimReply struct {
	Verdict claim.Verdict `msgpack:"v"`
	Result  claim.Result  `msgpack:"a"`
}

type resultRequest struct {
	Key    spoolsill.RequestKey `msgpack:"k"`
	Owner  claim.Owner          `msgpack:"o"`
	Result claim.Result         `msgpack:"a"`
}

func (h *Host) handleClaim(_ context.Context, _ peer.Caller, q claim.Claim) (claimReply, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v, r := h.ledger.Acquire(time.Now(), q)
	return claimReply{
		Verdict: v,
		Result:  r,
	}, nil
}

func (h *Host) handleRecordResult(_ context.Context, _ peer.Caller, q resultRequest) (empty, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ledger.RecordResult(q.Key, q.Owner, q.Result)
	return empty{}, nil
}

// A claimedKey is a claim of a request key, with the hall that keeps it.
type claimedKey struct {
	claim       claim.Claim
	home        settings.Hall
	rowWritten  bool        // the claim row was written to the table
	deleteTimer *time.Timer // deletes the row, if written, after the claim expires
}

// homeHall returns the hall that keeps the claim of a key: the hall that the
// key names, or otherwise one chosen by rendezvous hashing, so that all hosts
// choose the same one.
func (h *Host) homeHall(k spoolsill.RequestKey) settings.Hall {
	named := k.HomeHall()
	var best settings.Hall
	var highest uint64
	for _, x := range h.settings.Halls {
		if x.ID == named {
			return x
		}
		n := xxhash.Sum64String(string(k) + "@" + string(x.ID))
		if best.ID == "" || n > highest {
			best = x
			highest = n
		}
	}
	return best
}

// claimKey claims the key of an unrepeatable request; see package claim. If the
// decision is [claim.KeyUsed], the result is that of the first request with the
// key, if known.
func (h *Host) claimKey(ctx context.Context, r spoolsill.Request) (claimedKey, claim.Decision, claim.Result) {
	c := claimedKey{
		home: h.homeHall(r.Key),
		claim: claim.Claim{
			Key:    r.Key,
			Issued: r.Issued,
			Owner: claim.Owner{
				Host:        h.settings.Host.ID,
				Incarnation: h.incarnation,
				Nonce:       h.nonces.Add(1),
			},
		},
	}
	if h.config.Break.Claim {
		return c, claim.Dispatch, claim.Result{}
	}
	tally := claim.Tally{
		Hosts: len(c.home.Hosts),
	}
	var first claim.Result
	for _, x := range c.home.HostIDs() {
		v, err := h.claimAtHost(ctx, x, c.claim)
		if err != nil {
			continue
		}
		first = v.Result
		if !tally.Add(v.Verdict) {
			break
		}
	}
	d := tally.Decide()
	if d == claim.AskTable {
		d = h.claimInTable(ctx, &c)
	}
	if d != claim.Dispatch {
		h.releaseClaim(ctx, c)
	}
	return c, d, first
}

func (h *Host) claimAtHost(ctx context.Context, x spoolsill.HostID, q claim.Claim) (claimReply, error) {
	if x == h.settings.Host.ID {
		return h.handleClaim(ctx, peer.Caller{}, q)
	}
	return callPeer[claimReply](ctx, h, x, methodClaim, q)
}

// claimInTable decides a claim that only some hosts of the home hall have
// granted, by a conditional write to the platform's table.
func (h *Host) claimInTable(ctx context.Context, c *claimedKey) claim.Decision {
	key := claimKeyPrefix + string(c.claim.Key)
	value, err := msgpack.Marshal(&c.claim.Owner)
	if err != nil {
		return claim.NotRecorded
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
		r, err = h.readClaimRow(ctx, key)
	}
	if err != nil {
		return claim.NotRecorded
	}
	if !r.Applied && !h.ownsRows(r.Conflicts, *c) {
		return claim.KeyUsed
	}
	c.rowWritten = true
	c.deleteTimer = h.scheduleRowDeletion(key)
	return claim.Dispatch
}

// readClaimRow reads a claim row after the reply to its write was lost. It
// returns the row as a conflict, whose owner shows whether the write was
// applied. If there is no row, it fails with [table.ErrUnavailable].
func (h *Host) readClaimRow(ctx context.Context, key string) (table.Result, error) {
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

// ownsRows reports whether there are rows and all of them contain the owner of
// claim c.
func (h *Host) ownsRows(rows []table.Row, c claimedKey) bool {
	for _, r := range rows {
		var o claim.Owner
		if err := msgpack.Unmarshal(r.Value, &o); err != nil || o != c.claim.Owner {
			return false
		}
	}
	return len(rows) > 0
}

// scheduleRowDeletion schedules the deletion of a claim row for when the hosts no
// longer keep the claim. Stopping the returned timer cancels the deletion.
func (h *Host) scheduleRowDeletion(key string) *time.Timer {
	return time.AfterFunc(claim.DefaultKeep+2*maxClockSkew, func() {
		ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
		defer cancel()
		_, _ = h.platform.Commit(ctx, table.Txn{
			Deletes: []string{key},
		})
	})
}

// releaseClaim releases the claim of a request that certainly did not run, so
// that the caller can retry it with the same key.
func (h *Host) releaseClaim(ctx context.Context, c claimedKey) {
	h.recordClaimResult(ctx, c, claim.Result{
		Outcome: spoolsill.OutcomeNotRun,
	})
	if !c.rowWritten {
		return
	}
	// A later claim may create the row again, which the timer must not delete.
	c.deleteTimer.Stop()
	key := claimKeyPrefix + string(c.claim.Key)
	_, _ = h.platform.Commit(ctx, table.Txn{
		Conditions: []table.Condition{{
			Key:     key,
			Version: 1,
		}},
		Deletes: []string{key},
	})
}

// recordClaimResult sends the result of a claimed request to all hosts of the
// home hall.
func (h *Host) recordClaimResult(ctx context.Context, c claimedKey, r claim.Result) {
	if len(r.Body) > claim.MaxBody {
		r.Body = nil
	}
	q := resultRequest{
		Key:    c.claim.Key,
		Owner:  c.claim.Owner,
		Result: r,
	}
	ctx = context.WithoutCancel(ctx)
	for _, x := range c.home.HostIDs() {
		if x == h.settings.Host.ID {
			_, _ = h.handleRecordResult(ctx, peer.Caller{}, q)
			continue
		}
		_, _ = callPeer[empty](ctx, h, x, methodRecordResult, q)
	}
}
