package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sort"
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

// maxOperatorBody is the maximum length in bytes of the body of an operator's
// request.
const maxOperatorBody = 4 << 20

// handler returns the handler of the host's HTTP API.
func (h *Host) handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", h.getHealth)
	r.Get("/readyz", h.getReady)
	r.Handle("/metrics", h.metrics.handler())
	r.Route("/v1", func(r chi.Router) {
		r.Post("/call/{service}", h.postCall)
		r.Post("/call/{service}/*", h.postCall)
		r.Post("/plans", h.postPlan)
		r.Post("/plans/{id}/confirm", h.postConfirm)
		r.Get("/jobs", h.getJobs)
		r.Get("/jobs/{id}", h.getJob)
		r.Get("/workers", h.getWorkers)
		r.Get("/hosts", h.getHosts)
		r.Get("/config", h.getConfig)
		r.Put("/config", h.putConfig)
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

// writeError writes an error response. If err was returned by another host, the
// text is that of the original error, without the prefix added by package peer.
func writeError(w http.ResponseWriter, err error) {
	status, code := errorStatus(err)
	text := err.Error()
	var r *peer.RemoteError
	if errors.As(err, &r) {
		text = r.Text
	}
	writeJSON(w, status, api.ErrorResponse{
		Code: code,
		Text: text,
	})
}

// errorStatus returns the HTTP status and the error code for err.
func errorStatus(err error) (int, string) {
	var r *peer.RemoteError
	if errors.As(err, &r) {
		switch r.Code {
		case codeStale:
			return http.StatusConflict, string(r.Code)
		case codeInvalidIntent, peer.CodeBadInput:
			return http.StatusBadRequest, string(r.Code)
		case codeJobNotFound:
			return http.StatusNotFound, string(r.Code)
		default:
			return http.StatusServiceUnavailable, string(r.Code)
		}
	}
	switch {
	case errors.Is(err, config.ErrInvalidDocument):
		return http.StatusBadRequest, "bad-input"
	case errors.Is(err, errConfigStale):
		return http.StatusConflict, "stale"
	case errors.Is(err, peer.ErrUnreachable):
		return http.StatusServiceUnavailable, "unreachable"
	case errors.Is(err, peer.ErrReplyLost), errors.Is(err, table.ErrUnknownOutcome):
		return http.StatusGatewayTimeout, "unknown"
	default:
		return http.StatusServiceUnavailable, "unavailable"
	}
}

func (h *Host) postPlan(w http.ResponseWriter, q *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxOperatorBody))
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
	p, err := callHolder[holder.Plan](q.Context(), h, hall, opPlan, i)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, p)
}

// decodeIntent decodes an operator's intent and the hall that it applies to. The
// hall is empty if neither the request nor the job file names one.
func decodeIntent(b []byte) (spoolsill.HallID, intent.Intent, error) {
	var x api.PlanRequest
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
	f, err := jobfile.Parse(x.FileName, []byte(x.Submit))
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
	hall := h.requestedHall(q)
	id := spoolsill.PlanID(chi.URLParam(q, "id"))
	if _, err := callHolder[empty](q.Context(), h, hall, opConfirm, id); err != nil {
		writeError(w, err)
		return
	}
	h.recordEvent(timeline.KindOperator, "plan "+string(id)+" confirmed")
	writeJSON(w, http.StatusOK, api.ConfirmResponse{
		ID:   id,
		Hall: hall,
	})
}

// requestedHall returns the hall named in the query, or the host's own hall if
// none is.
func (h *Host) requestedHall(q *http.Request) spoolsill.HallID {
	if x := q.URL.Query().Get("hall"); x != "" {
		return spoolsill.HallID(x)
	}
	return h.hall.ID
}

// requestedHalls returns the hall named in the query, or all halls if none is.
func (h *Host) requestedHalls(q *http.Request) []spoolsill.HallID {
	if x := q.URL.Query().Get("hall"); x != "" {
		return []spoolsill.HallID{spoolsill.HallID(x)}
	}
	out := make([]spoolsill.HallID, 0, len(h.settings.Halls))
	for _, x := range h.settings.Halls {
		out = append(out, x.ID)
	}
	return out
}

// callHolders calls the holders of the requested halls concurrently. It returns
// the replies by hall, and as unavailable the halls whose call failed.
func callHolders[R any](h *Host, q *http.Request, o holderOp, body any) (map[spoolsill.HallID]R, []api.UnavailableHall) {
	type result struct {
		hall spoolsill.HallID
		r    R
		err  error
	}
	halls := h.requestedHalls(q)
	ctx, cancel := context.WithTimeout(q.Context(), 2*peerTimeout)
	defer cancel()
	results := make(chan result, len(halls))
	for _, x := range halls {
		go func() {
			r, err := callHolder[R](ctx, h, x, o, body)
			results <- result{
				hall: x,
				r:    r,
				err:  err,
			}
		}()
	}
	out := map[spoolsill.HallID]R{}
	unavailable := []api.UnavailableHall{}
	for range halls {
		x := <-results
		if x.err == nil {
			out[x.hall] = x.r
			continue
		}
		unavailable = append(unavailable, api.UnavailableHall{
			Hall: x.hall,
			Text: x.err.Error(),
		})
	}
	return out, unavailable
}

func (h *Host) getJobs(w http.ResponseWriter, q *http.Request) {
	jobs, unavailable := callHolders[[]place.JobView](h, q, opJobs, empty{})
	out := api.Jobs{
		Jobs:             []api.Job{},
		UnavailableHalls: unavailable,
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
	found, unavailable := callHolders[holder.JobStatus](h, q, opJob, id)
	for hall, d := range found {
		writeJSON(w, http.StatusOK, api.JobDetail{
			Hall:  hall,
			Job:   d.Job,
			Tasks: d.Tasks,
		})
		return
	}
	for _, u := range unavailable {
		if !isJobNotFound(u) {
			writeJSON(w, http.StatusServiceUnavailable, api.ErrorResponse{
				Code: "unavailable",
				Text: fmt.Sprintf("job %s is in no hall that answers; hall %s does not: %s", id, u.Hall, u.Text),
			})
			return
		}
	}
	writeJSON(w, http.StatusNotFound, api.ErrorResponse{
		Code: string(codeJobNotFound),
		Text: fmt.Sprintf("job %s is not known in any hall", id),
	})
}

// isJobNotFound reports whether the call to a hall failed because the hall has no
// such job. It compares the text of the error, since only that is retained.
func isJobNotFound(u api.UnavailableHall) bool {
	return u.Text == (&peer.RemoteError{
		Code: codeJobNotFound,
		Text: holder.ErrJobNotFound.Error(),
	}).Error()
}

func (h *Host) getWorkers(w http.ResponseWriter, q *http.Request) {
	found, unavailable := callHolders[[]place.WorkerView](h, q, opWorkers, empty{})
	out := api.Workers{
		Workers:          []api.Worker{},
		UnavailableHalls: unavailable,
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

func (h *Host) getConfig(w http.ResponseWriter, _ *http.Request) {
	h.mu.Lock()
	r := h.configStore.Current()
	h.mu.Unlock()
	writeJSON(w, http.StatusOK, revision(r))
}

func revision(r config.Revision) api.ConfigRevision {
	return api.ConfigRevision{
		Version:    r.Version,
		Author:     r.Author,
		AcceptedAt: time.Unix(r.AcceptedAt, 0).UTC(),
		Note:       r.Note,
		Text:       string(r.Text),
	}
}

func (h *Host) putConfig(w http.ResponseWriter, q *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxOperatorBody))
	if err != nil {
		writeError(w, badInput(err))
		return
	}
	var x api.PutConfigRequest
	if err := json.Unmarshal(b, &x); err != nil {
		writeError(w, badInput(err))
		return
	}
	v, err := h.acceptConfig(q.Context(), config.Revision{
		Author: x.Author,
		Note:   x.Note,
		Text:   []byte(x.Text),
	}, x.BaseVersion)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, api.PutConfigResponse{
		Version: v,
	})
}

func (h *Host) getHistory(w http.ResponseWriter, q *http.Request) {
	list, err := h.configHistory(q.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	out := api.ConfigHistory{
		Revisions: []api.ConfigRevision{},
	}
	for _, r := range list {
		out.Revisions = append(out.Revisions, revision(r))
	}
	writeJSON(w, http.StatusOK, out)
}
