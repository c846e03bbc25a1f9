package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/api"
	"github.com/spoolsill/spoolsill/config"
	"github.com/spoolsill/spoolsill/holder"
	"github.com/spoolsill/spoolsill/intent"
	"github.com/spoolsill/spoolsill/jobfile"
	"github.com/spoolsill/spoolsill/peer"
	"github.com/spoolsill/spoolsill/place"
	"github.com/spoolsill/spoolsill/table"
	"github.com/spoolsill/spoolsill/timeline"
)

// maxOperate bounds the body of an operator's call.
const maxOperate = 4 << 20

// handler returns the host's HTTP interface.
func (h *Host) handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", h.getHealth)
	r.Get("/readyz", h.getReady)
	r.Handle("/metrics", h.metrics.handler())
	r.Route("/v1", func(r chi.Router) {
		r.Post("/call/{service}", h.call)
		r.Post("/call/{service}/*", h.call)
		r.Post("/plans", h.postPlan)
		r.Post("/plans/{id}/confirm", h.postConfirm)
		r.Get("/jobs", h.getJobs)
		r.Get("/jobs/{id}", h.getJob)
		r.Get("/workers", h.getWorkers)
		r.Get("/hosts", h.getHosts)
		r.Get("/config", h.getConfig)
		r.Put("/config", h.putConfigHTTP)
		r.Get("/config/history", h.getHistory)
		r.Get("/timeline", h.getTimeline)
	})
	return r
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, err error) {
	status, code := statusOf(err)
	text := err.Error()
	var r *peer.RemoteError
	if errors.As(err, &r) {
		text = r.Text
	}
	writeJSON(w, status, api.Error{
		Code: code,
		Text: text,
	})
}

func statusOf(err error) (int, string) {
	var r *peer.RemoteError
	if errors.As(err, &r) {
		switch r.Code {
		case codeStale:
			return http.StatusConflict, string(r.Code)
		case codeIntent, peer.CodeInput:
			return http.StatusBadRequest, string(r.Code)
		case codeNoJob:
			return http.StatusNotFound, string(r.Code)
		default:
			return http.StatusServiceUnavailable, string(r.Code)
		}
	}
	switch {
	case errors.Is(err, config.ErrDocument):
		return http.StatusBadRequest, "bad-input"
	case errors.Is(err, errConfigStale):
		return http.StatusConflict, "stale"
	case errors.Is(err, peer.ErrUnreachable):
		return http.StatusServiceUnavailable, "unreachable"
	case errors.Is(err, peer.ErrLost), errors.Is(err, table.ErrLost):
		return http.StatusGatewayTimeout, "unknown"
	default:
		return http.StatusServiceUnavailable, "unavailable"
	}
}

func (h *Host) postPlan(w http.ResponseWriter, q *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxOperate))
	if err != nil {
		writeError(w, badInput(err))
		return
	}
	hall, i, err := decodeIntent(b)
	if err != nil {
		writeError(w, badInput(err))
		return
	}
	if hall == "" {
		hall = h.hall.ID
	}
	p, err := askHall[holder.Plan](q.Context(), h, hall, opPlan, i)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, p)
}

// decodeIntent reads an operator's intent and the hall that it is for.
func decodeIntent(b []byte) (spoolsill.HallID, intent.Intent, error) {
	var x api.Intent
	if err := json.Unmarshal(b, &x); err != nil {
		return "", intent.Intent{}, err
	}
	i := intent.Intent{
		Cancel: x.Cancel,
		Drain:  x.Drain,
	}
	if x.Submit == "" {
		return x.Hall, i, nil
	}
	f, err := jobfile.Parse(x.Name, []byte(x.Submit))
	if err != nil {
		return "", intent.Intent{}, err
	}
	i.Submit = &f.Job
	if x.Hall == "" {
		x.Hall = f.Hall
	}
	return x.Hall, i, nil
}

func (h *Host) postConfirm(w http.ResponseWriter, q *http.Request) {
	hall := h.hallOf(q)
	id := spoolsill.PlanID(chi.URLParam(q, "id"))
	if _, err := askHall[empty](q.Context(), h, hall, opConfirm, id); err != nil {
		writeError(w, err)
		return
	}
	h.event(timeline.KindOperator, "plan "+string(id)+" confirmed")
	writeJSON(w, http.StatusOK, api.Confirmed{
		ID:   id,
		Hall: hall,
	})
}

func (h *Host) hallOf(q *http.Request) spoolsill.HallID {
	if x := q.URL.Query().Get("hall"); x != "" {
		return spoolsill.HallID(x)
	}
	return h.hall.ID
}

// halls returns the hall that a call names, or all.
func (h *Host) halls(q *http.Request) []spoolsill.HallID {
	if x := q.URL.Query().Get("hall"); x != "" {
		return []spoolsill.HallID{spoolsill.HallID(x)}
	}
	out := make([]spoolsill.HallID, 0, len(h.settings.Halls))
	for _, x := range h.settings.Halls {
		out = append(out, x.ID)
	}
	return out
}

// eachHall asks several halls at once. A hall without an answer is named.
func eachHall[R any](h *Host, q *http.Request, o op, body any) (map[spoolsill.HallID]R, []api.Missing) {
	type result struct {
		hall spoolsill.HallID
		r    R
		err  error
	}
	halls := h.halls(q)
	ctx, cancel := context.WithTimeout(q.Context(), 2*peerTimeout)
	defer cancel()
	results := make(chan result, len(halls))
	for _, x := range halls {
		go func() {
			r, err := askHall[R](ctx, h, x, o, body)
			results <- result{
				hall: x,
				r:    r,
				err:  err,
			}
		}()
	}
	out := map[spoolsill.HallID]R{}
	missing := []api.Missing{}
	for range halls {
		x := <-results
		if x.err == nil {
			out[x.hall] = x.r
			continue
		}
		missing = append(missing, api.Missing{
			Hall: x.hall,
			Text: x.err.Error(),
		})
	}
	return out, missing
}

func (h *Host) getJobs(w http.ResponseWriter, q *http.Request) {
	jobs, missing := eachHall[[]place.JobView](h, q, opJobs, empty{})
	out := api.Jobs{
		Jobs:    []api.Job{},
		Missing: missing,
	}
	for hall, list := range jobs {
		for _, j := range list {
			out.Jobs = append(out.Jobs, api.Job{
				Hall:    hall,
				JobView: j,
			})
		}
	}
	sort.Slice(out.Jobs, func(i, j int) bool {
		return out.Jobs[i].ID < out.Jobs[j].ID
	})
	writeJSON(w, http.StatusOK, out)
}

func (h *Host) getJob(w http.ResponseWriter, q *http.Request) {
	id := spoolsill.JobID(chi.URLParam(q, "id"))
	found, missing := eachHall[holder.Detail](h, q, opJob, id)
	for hall, d := range found {
		writeJSON(w, http.StatusOK, api.JobDetail{
			Hall:  hall,
			Job:   d.Job,
			Tasks: d.Tasks,
		})
		return
	}
	for _, m := range missing {
		if !isNoJob(m) {
			writeJSON(w, http.StatusServiceUnavailable, api.Error{
				Code: "unavailable",
				Text: fmt.Sprintf("job %s is in no hall that answers; hall %s does not: %s", id, m.Hall, m.Text),
			})
			return
		}
	}
	writeJSON(w, http.StatusNotFound, api.Error{
		Code: string(codeNoJob),
		Text: fmt.Sprintf("job %s is not known in any hall", id),
	})
}

func isNoJob(m api.Missing) bool {
	return m.Text == (&peer.RemoteError{
		Code: codeNoJob,
		Text: holder.ErrNoJob.Error(),
	}).Error()
}

func (h *Host) getWorkers(w http.ResponseWriter, q *http.Request) {
	found, missing := eachHall[[]place.WorkerView](h, q, opWorkers, empty{})
	out := api.Workers{
		Workers: []api.Worker{},
		Missing: missing,
	}
	for hall, list := range found {
		for _, x := range list {
			out.Workers = append(out.Workers, api.Worker{
				Hall:       hall,
				WorkerView: x,
			})
		}
	}
	sort.Slice(out.Workers, func(i, j int) bool {
		return out.Workers[i].ID < out.Workers[j].ID
	})
	writeJSON(w, http.StatusOK, out)
}

func (h *Host) getHealth(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.status())
}

// getReady tells the balancer whether to send callers here. A lost platform
// makes the host degraded, not unready.
func (h *Host) getReady(w http.ResponseWriter, _ *http.Request) {
	s := h.status()
	status := http.StatusOK
	if s.Stopping || !s.Members {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, s)
}

// status returns what the host knows of itself.
func (h *Host) status() api.Host {
	x, epoch, _ := h.holder.Seen()
	s := api.Host{
		ID:       h.settings.Host.ID,
		Hall:     h.hall.ID,
		HTTP:     h.settings.Host.HTTP,
		Started:  h.started,
		Stopping: h.stopping.Load(),
		Degraded: h.platform.Silent(),
		Holder:   x,
		Epoch:    epoch,
		Holds:    h.holder.Holds(),
		Placing:  h.holder.Placing(),
	}
	for _, v := range h.services {
		waiting, running := v.router.Load()
		s.Waiting += waiting
		s.Running += running
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s.Config = h.store.Current().Version
	s.ConfigSure = h.configSure()
	_, s.Members = h.view.Known()
	return s
}

func (h *Host) takeHostRead(context.Context, peer.Caller, empty) (api.Host, error) {
	return h.status(), nil
}

// getHosts asks every host of the cell for its status.
func (h *Host) getHosts(w http.ResponseWriter, q *http.Request) {
	type result struct {
		s   api.Host
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
					s.ID, s.Hall, s.HTTP = p.ID, x.ID, p.HTTP
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
			r.s.Unreachable = r.err.Error()
		}
		out.Hosts = append(out.Hosts, r.s)
	}
	sort.Slice(out.Hosts, func(i, j int) bool {
		return out.Hosts[i].ID < out.Hosts[j].ID
	})
	writeJSON(w, http.StatusOK, out)
}

func (h *Host) statusOf(ctx context.Context, id spoolsill.HostID) (api.Host, error) {
	if id == h.settings.Host.ID {
		return h.status(), nil
	}
	return call[api.Host](ctx, h, id, methodHost, empty{})
}

func (h *Host) getConfig(w http.ResponseWriter, _ *http.Request) {
	h.mu.Lock()
	r := h.store.Current()
	h.mu.Unlock()
	writeJSON(w, http.StatusOK, revision(r))
}

func revision(r config.Revision) api.Revision {
	return api.Revision{
		Version: r.Version,
		Who:     r.Who,
		When:    time.Unix(r.When, 0).UTC(),
		Note:    r.Note,
		Text:    string(r.Text),
	}
}

func (h *Host) putConfigHTTP(w http.ResponseWriter, q *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxOperate))
	if err != nil {
		writeError(w, badInput(err))
		return
	}
	var x api.PutConfig
	if err := json.Unmarshal(b, &x); err != nil {
		writeError(w, badInput(err))
		return
	}
	v, err := h.putConfig(q.Context(), config.Revision{
		Who:  x.Who,
		Note: x.Note,
		Text: []byte(x.Text),
	}, x.Base)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, api.Accepted{
		Version: v,
	})
}

func (h *Host) getHistory(w http.ResponseWriter, q *http.Request) {
	list, err := h.history(q.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	out := api.History{
		Revisions: []api.Revision{},
	}
	for _, r := range list {
		out.Revisions = append(out.Revisions, revision(r))
	}
	writeJSON(w, http.StatusOK, out)
}

// maxEvents is the largest number of events that one call returns.
const maxEvents = 10_000

// getTimeline merges the rings of all hosts that answer.
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
	events, missing := h.collect(q.Context(), f, limit)
	if len(events) > limit {
		events = events[len(events)-limit:]
	}
	writeJSON(w, http.StatusOK, api.Timeline{
		Events:  events,
		Missing: missing,
	})
}

func (h *Host) collect(ctx context.Context, f timeline.Filter, limit int) ([]timeline.Event, []spoolsill.HostID) {
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
				e, err := h.eventsOf(ctx, p.ID, f, limit)
				results <- result{
					id:     p.ID,
					events: e,
					err:    err,
				}
			}()
		}
	}
	var rings [][]timeline.Event
	missing := []spoolsill.HostID{}
	for range n {
		r := <-results
		if r.err != nil {
			missing = append(missing, r.id)
			continue
		}
		rings = append(rings, r.events)
	}
	return timeline.Merge(rings...), missing
}

func (h *Host) eventsOf(ctx context.Context, id spoolsill.HostID, f timeline.Filter, limit int) ([]timeline.Event, error) {
	if id == h.settings.Host.ID {
		return h.ring.Select(f, limit), nil
	}
	r, err := call[wireEvents](ctx, h, id, methodTimeline, wireTimeline{
		Filter: f,
		Limit:  limit,
	})
	return r.Events, err
}
