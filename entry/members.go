package entry

import (
	"context"
	"math/rand/v2"
	"reflect"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/member"
	"github.com/spoolsill/spoolsill/peer"
	"github.com/spoolsill/spoolsill/place"
	"github.com/spoolsill/spoolsill/timeline"
)

// memberPollInterval is the mean interval between reads of the platform's list of
// workers and runners.
const memberPollInterval = time.Second

// pollMembers periodically updates the view of workers and runners from the
// platform's list, until ctx is done.
func (h *Host) pollMembers(ctx context.Context) {
	var last member.List
	for ctx.Err() == nil {
		l, err := h.platform.Members(ctx)
		if err != nil {
			l, err = h.fetchMembersFromPeers(ctx)
		}
		if err == nil {
			h.mu.Lock()
			h.members.SetList(time.Now(), l)
			h.mu.Unlock()
			if !reflect.DeepEqual(l, last) {
				last = l
				h.recordEvent(timeline.KindMembership, "the list of workers and runners has changed")
				h.updateRunners()
			}
		}
		pause.For(ctx, memberPollInterval-memberPollInterval/10+rand.N(memberPollInterval/5))
	}
}

// fetchMembersFromPeers fetches the list from the hall's other hosts if this host
// has none yet. It is called when the platform does not respond.
func (h *Host) fetchMembersFromPeers(ctx context.Context) (member.List, error) {
	h.mu.Lock()
	_, known := h.members.ListTime()
	h.mu.Unlock()
	if known {
		return member.List{}, errNoMemberList
	}
	for _, x := range h.hallPeers() {
		r, err := callPeer[membersReply](ctx, h, x, methodMembers, empty{})
		if err == nil && r.Known {
			return r.List, nil
		}
	}
	return member.List{}, errNoMemberList
}

type noMemberListError struct{}

// Error implements error.
func (noMemberListError) Error() string { return "no list of workers and runners available" }

var errNoMemberList error = noMemberListError{}

type membersReply struct {
	Known bool        `msgpack:"k"`
	List  member.List `msgpack:"l"`
}

func (h *Host) handleMembersRead(context.Context, peer.Caller, empty) (membersReply, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, known := h.members.ListTime()
	return membersReply{
		Known: known,
		List:  h.members.List(),
	}, nil
}

// updateRunners passes the hall's runners to the routers. The holder gets its
// workers by calling hallWorkers.
func (h *Host) updateRunners() {
	h.mu.Lock()
	runners := h.members.Runners(h.hall.ID)
	h.mu.Unlock()
	for id, s := range h.services {
		var list []spoolsill.Runner
		for _, r := range runners {
			if r.Service == id {
				list = append(list, r)
			}
		}
		s.router.SetRunners(list)
	}
}

// hallWorkers returns the hall's workers, and whether a list of them has been
// received.
func (h *Host) hallWorkers() ([]spoolsill.Worker, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, known := h.members.ListTime()
	return h.members.Workers(h.hall.ID), known
}

// hallQuotas returns the hall's part of every team's quota. All halls get equal
// parts, so that together they do not exceed the quota even if they cannot reach
// each other.
func (h *Host) hallQuotas() []place.Quota {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := len(h.settings.Halls)
	teams := h.configStore.Document().Teams
	out := make([]place.Quota, 0, len(teams))
	for _, t := range teams {
		q := t.Quota()
		out = append(out, place.Quota{
			Team:    t.ID,
			Weight:  t.Weight,
			Limited: !q.IsZero(),
			Limit: spoolsill.Resources{
				Processors:   q.Processors / spoolsill.Millicores(n),
				Memory:       q.Memory / spoolsill.Bytes(n),
				Accelerators: q.Accelerators / spoolsill.Accelerators(n),
			},
		})
	}
	return out
}

// recordRunnerCall counts the calls that a runner did not answer. Answered calls
// are ignored, so they do not reset the count.
func (h *Host) recordRunnerCall(id spoolsill.RunnerID, answered bool) {
	if answered {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.members.RecordCall(string(id), answered)
}

// markRunnerLeaving records that a runner has announced that it is leaving. The
// next heartbeat propagates this to the hall's other hosts.
func (h *Host) markRunnerLeaving(id spoolsill.RunnerID) {
	h.mu.Lock()
	changed := h.members.SetLeaving(time.Now(), string(id))
	h.mu.Unlock()
	if changed {
		h.recordEvent(timeline.KindMembership, "runner "+string(id)+" says that it is leaving")
		h.updateRunners()
	}
}
