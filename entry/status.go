package entry

import (
	"context"
	"net/http"
	"sort"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/api"
	"github.com/spoolsill/spoolsill/peer"
)

// getHealth handles health checks. A running host is always healthy.
func (h *Host) getHealth(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.status())
}

// getReady handles readiness checks of load balancers. A host that cannot reach
// the platform is degraded, but still ready.
func (h *Host) getReady(w http.ResponseWriter, _ *http.Request) {
	s := h.status()
	status := http.StatusOK
	if s.Stopping || !s.MembersKnown {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, s)
}

// status returns the host's own status.
func (h *Host) status() api.HostStatus {
	x, epoch, _ := h.holder.LeaseHolder()
	s := api.HostStatus{
		ID:          h.settings.Host.ID,
		Hall:        h.hall.ID,
		HTTPAddress: h.settings.Host.HTTPAddress,
		Started:     h.started,
		Stopping:    h.stopping.Load(),
		Degraded:    h.platform.Unavailable(),
		LeaseHolder: x,
		Epoch:       epoch,
		HoldsLease:  h.holder.Holds(),
		Placing:     h.holder.Ready(),
	}
	for _, v := range h.services {
		waiting, running := v.router.Load()
		s.Waiting += waiting
		s.Running += running
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s.Config = h.configStore.Current().Version
	s.ConfigCurrent = h.configSynced()
	_, s.MembersKnown = h.members.ListTime()
	return s
}

func (h *Host) handleHostStatus(context.Context, peer.Caller, empty) (api.HostStatus, error) {
	return h.status(), nil
}

// getHosts returns the status of every host of the cell. Hosts that do not
// respond are listed with the reason.
func (h *Host) getHosts(w http.ResponseWriter, q *http.Request) {
	type result struct {
		s   api.HostStatus
		err error
	}
	ctx, cancel := context.WithTimeout(q.Context(), peerTimeout)
	defer cancel()
	results := make(chan result)
	n := 0
	for _, x := range h.settings.Halls {
		for _, p := range x.Hosts {
			n++
			go func() {
				s, err := h.fetchStatus(ctx, p.ID)
				if err != nil {
					s.ID, s.Hall, s.HTTPAddress = p.ID, x.ID, p.HTTPAddress
				}
				results <- result{
					s:   s,
					err: err,
				}
			}()
		}
	}
	out := api.Hosts{}
	for range n {
		r := <-results
		if r.err != nil {
			r.s.UnreachableReason = r.err.Error()
		}
		out.Hosts = append(out.Hosts, r.s)
	}
	sort.Slice(out.Hosts, func(i, j int) bool {
		return out.Hosts[i].ID < out.Hosts[j].ID
	})
	writeJSON(w, http.StatusOK, out)
}

func (h *Host) fetchStatus(ctx context.Context, id spoolsill.HostID) (api.HostStatus, error) {
	if id == h.settings.Host.ID {
		return h.status(), nil
	}
	return callPeer[api.HostStatus](ctx, h, id, methodHostStatus, empty{})
}
