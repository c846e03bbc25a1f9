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

// memberEvery is the time between two looks at the platform's list.
const memberEvery = time.Second

// followMembers keeps the view of the hall's machines until ctx ends.
func (h *Host) followMembers(ctx context.Context) {
	var last member.List
	for ctx.Err() == nil {
		l, err := h.platform.Members(ctx)
		if err != nil {
			l, err = h.membersFromPeers(ctx)
		}
		if err == nil {
			h.mu.Lock()
			h.view.SetList(time.Now(), l)
			h.mu.Unlock()
			if !reflect.DeepEqual(l, last) {
				last = l
				h.event(timeline.KindMembership, "the list of workers and runners has changed")
				h.applyMembers()
			}
		}
		pause.For(ctx, memberEvery-memberEvery/10+rand.N(memberEvery/5))
	}
}

// membersFromPeers asks the hall's other hosts for the list when this host
// has none yet and the platform is silent.
func (h *Host) membersFromPeers(ctx context.Context) (member.List, error) {
	h.mu.Lock()
	_, known := h.view.ListTime()
	h.mu.Unlock()
	if known {
		return member.List{}, errNoList
	}
	for _, x := range h.others() {
		r, err := call[wireMembers](ctx, h, x, methodMembers, empty{})
		if err == nil && r.Known {
			return r.List, nil
		}
	}
	return member.List{}, errNoList
}

type noListError struct{}

// Error implements error.
func (noListError) Error() string { return "no list of workers and runners" }

var errNoList error = noListError{}

type wireMembers struct {
	Known bool        `msgpack:"k"`
	List  member.List `msgpack:"l"`
}

func (h *Host) takeMembersRead(context.Context, peer.Caller, empty) (wireMembers, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, known := h.view.ListTime()
	return wireMembers{
		Known: known,
		List:  h.view.List(),
	}, nil
}

// applyMembers hands the view to the routers. The holder asks for it itself.
func (h *Host) applyMembers() {
	h.mu.Lock()
	runners := h.view.Runners(h.hall.ID)
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

// workers returns the hall's workers for package holder.
func (h *Host) workers() ([]spoolsill.Worker, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, known := h.view.ListTime()
	return h.view.Workers(h.hall.ID), known
}

// quotas returns the hall's share of every team's quota: an equal part, so
// that all halls together stay inside it also when they are cut off.
func (h *Host) quotas() []place.Quota {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := len(h.settings.Halls)
	teams := h.store.Document().Teams
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

// sawRunner takes in whether a runner answered a call.
func (h *Host) sawRunner(id spoolsill.RunnerID, answered bool) {
	if answered {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.view.RecordCall(string(id), answered)
}

// runnerLeaves takes in a runner's own word that it is leaving. The hall's
// other hosts learn of it with the next heartbeat.
func (h *Host) runnerLeaves(id spoolsill.RunnerID) {
	h.mu.Lock()
	news := h.view.SetLeaving(time.Now(), string(id))
	h.mu.Unlock()
	if news {
		h.event(timeline.KindMembership, "runner "+string(id)+" says that it is leaving")
		h.applyMembers()
	}
}
