package entry

import (
	"context"
	"net/http"
	"sort"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/api"
	"github.com/spoolsill/spoolsill/peer"
)

func (h *Host) getHealth(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.status())
}

// getReady tells the balancer whether to send callers here. A lost platform
// makes the host degraded, not unready.
func (h *Host) getReady(w http.ResponseWriter, _ *http.Request) {
	s := h.status()
	status := http.StatusOK
	if s.Stopping || !s.MembersKnown {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, s)
}

// status returns what the host knows of itself.
func (h *Host) status() api.HostStatus {
	x, epoch, _ := h.holder.Seen()
	s := api.HostStatus{
		ID:          h.settings.Host.ID,
		Hall:        h.hall.ID,
		HTTPAddress: h.settings.Host.HTTPAddress,
		Started:     h.started,
		Stopping:    h.stopping.Load(),
		Degraded:    h.platform.Silent(),
		LeaseHolder: x,
		Epoch:       epoch,
		HoldsLease:  h.holder.Holds(),
		Placing:     h.holder.Placing(),
	}
	for _, v := range h.services {
		waiting, running := v.router.Load()
		s.Waiting += waiting
		s.Running += running
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s.Config = h.store.Current().Version
	s.ConfigCurrent = h.configSure()
	_, s.MembersKnown = h.view.Known()
	return s
}

func (h *Host) takeHostRead(context.Context, peer.Caller, empty) (api.HostStatus, error) {
	return h.status(), nil
}

// getHosts asks every host of the cell for its status.
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
				s, err := h.statusOf(ctx, p.ID)
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

func (h *Host) statusOf(ctx context.Context, id spoolsill.HostID) (api.HostStatus, error) {
	if id == h.settings.Host.ID {
		return h.status(), nil
	}
	return call[api.HostStatus](ctx, h, id, methodHost, empty{})
}
