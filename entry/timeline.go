package entry

import (
	"context"
	"net/http"
	"strconv"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/api"
	"github.com/spoolsill/spoolsill/timeline"
)

// maxEvents is the maximum number of events that one call returns.
const maxEvents = 10_000

// getTimeline returns the merged events of all hosts that respond, and lists the
// hosts that do not.
func (h *Host) getTimeline(w http.ResponseWriter, q *http.Request) {
	v := q.URL.Query()
	limit, err := strconv.Atoi(v.Get("limit"))
	if err != nil || limit <= 0 || limit > maxEvents {
		limit = maxEvents
	}
	f := timeline.Filter{
		Job:     spoolsill.JobID(v.Get("job")),
		Task:    v.Get("task"),
		Request: spoolsill.RequestKey(v.Get("request")),
		Worker:  spoolsill.WorkerID(v.Get("worker")),
		Hall:    spoolsill.HallID(v.Get("hall")),
	}
	f.After.Wall, _ = strconv.ParseInt(v.Get("after"), 10, 64)
	n, _ := strconv.ParseUint(v.Get("after_counter"), 10, 32)
	f.After.Counter = uint32(n)
	events, unavailable := h.collectEvents(q.Context(), f, limit)
	if len(events) > limit {
		events = events[len(events)-limit:]
	}
	writeJSON(w, http.StatusOK, api.Timeline{
		Events:           events,
		UnavailableHosts: unavailable,
	})
}

// collectEvents fetches the events of all hosts of the cell concurrently. It
// returns them merged, and the hosts that did not respond.
func (h *Host) collectEvents(ctx context.Context, f timeline.Filter, limit int) ([]timeline.Event, []spoolsill.HostID) {
	type result struct {
		id     spoolsill.HostID
		events []timeline.Event
		err    error
	}
	results := make(chan result)
	n := 0
	for _, x := range h.settings.Halls {
		for _, p := range x.Hosts {
			n++
			go func() {
				e, err := h.fetchEvents(ctx, p.ID, f, limit)
				results <- result{
					id:     p.ID,
					events: e,
					err:    err,
				}
			}()
		}
	}
	var lists [][]timeline.Event
	unavailable := []spoolsill.HostID{}
	for range n {
		r := <-results
		if r.err != nil {
			unavailable = append(unavailable, r.id)
			continue
		}
		lists = append(lists, r.events)
	}
	return timeline.Merge(lists...), unavailable
}

func (h *Host) fetchEvents(ctx context.Context, id spoolsill.HostID, f timeline.Filter, limit int) ([]timeline.Event, error) {
	if id == h.settings.Host.ID {
		return h.ring.Select(f, limit), nil
	}
	r, err := callPeer[timelineReply](ctx, h, id, methodTimeline, timelineRequest{
		Filter: f,
		Limit:  limit,
	})
	return r.Events, err
}
