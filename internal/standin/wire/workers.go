package wire

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/cellfake"
	"github.com/spoolsill/spoolsill/leader"
	"github.com/spoolsill/spoolsill/platform"
	"github.com/spoolsill/spoolsill/sched"
)

// An order is the body of a call to a worker. Each kind of call uses some of the
// fields.
type order struct {
	Task       string            `json:"task"`
	Run        sched.RunNumber   `json:"run"`
	Spec       string            `json:"spec"`
	DeadlineMS sched.ClockMillis `json:"deadlineMs"`
	Fence      spoolsill.Epoch   `json:"fence"`
	Saved      string            `json:"saved"`
	Ticket     string            `json:"ticket"`
	LastSeen   uint64            `json:"lastSeen"`
	WaitMS     int64             `json:"waitMs"`
}

func (o order) run() (sched.RunID, error) {
	t, err := platform.ParseTaskID(o.Task)
	return sched.RunID{
		Task:   t,
		Number: o.Run,
	}, err
}

// WorkerHandler returns the HTTP API of one worker.
func WorkerHandler(f *cellfake.Workers, id spoolsill.WorkerID) http.Handler {
	t := leader.Target{
		WorkerIncarnation: spoolsill.WorkerIncarnation{
			Worker: id,
		},
	}
	m := chi.NewRouter()
	m.Use(func(next http.Handler) http.Handler { return checkInstance(id, next) })
	m.Post("/api/hold", decodeOrder(func(w http.ResponseWriter, r *http.Request, o order) {
		h, p := f.Renew(r.Context(), leader.Renewal{
			Target:    t,
			Fence:     o.Fence,
			Deadline:  o.DeadlineMS,
			LastAcked: o.LastSeen,
			Wait:      time.Duration(o.WaitMS) * time.Millisecond,
		})
		if p.Kind != leader.Accepted {
			writeReply(w, p)
			return
		}
		writeResponse(w, http.StatusOK, encodeHeartbeat(h), nil)
	}))
	m.Post("/api/run-start", decodeOrder(func(w http.ResponseWriter, r *http.Request, o order) {
		id, err := o.run()
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeReply(w, f.Start(r.Context(), leader.Start{
			Target:   t,
			Fence:    o.Fence,
			Deadline: o.DeadlineMS,
			Order: sched.StartOrder{
				Run:    id,
				Spec:   o.Spec,
				Saved:  o.Saved,
				Ticket: o.Ticket,
			},
		}))
	}))
	m.Post("/api/run-stop", decodeOrder(func(w http.ResponseWriter, r *http.Request, o order) {
		id, err := o.run()
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeReply(w, f.Stop(r.Context(), leader.Stop{
			Target: t,
			Fence:  o.Fence,
			Run:    id,
		}))
	}))
	return m
}

// checkInstance rejects calls that are addressed to another instance with status
// 421.
func checkInstance(id spoolsill.WorkerID, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Spoolsill-Expect-Instance") != string(id) {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func decodeOrder(f func(http.ResponseWriter, *http.Request, order)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		f(w, r, o)
	}
}

// conflictReasons maps rejections to the reasons that are sent with status 409.
var conflictReasons = map[leader.ReplyKind]string{
	leader.Fenced:     "fence",
	leader.RunEnded:   "old",
	leader.TooLate:    "late",
	leader.NoCapacity: "room",
	leader.NoTicket:   "ticket",
}

func writeReply(w http.ResponseWriter, r leader.Reply) {
	body := map[string]any{
		"clockMs": r.Clock,
	}
	switch r.Kind {
	case leader.Accepted:
		writeResponse(w, http.StatusOK, body, nil)
	case leader.NoAnswer:
		panic(http.ErrAbortHandler)
	default:
		body["reason"] = conflictReasons[r.Kind]
		writeResponse(w, http.StatusConflict, body, nil)
	}
}

func encodeHeartbeat(h sched.Heartbeat) map[string]any {
	running := [][]any{}
	for _, r := range h.Running {
		running = append(running, []any{r.Run.Task.String(), r.Run.Number, r.Saved, r.Percent})
	}
	ended := [][]any{}
	for _, e := range h.Ended {
		ended = append(ended, []any{e.Sequence, e.Run.Task.String(), e.Run.Number, e.Kind.String(), e.Saved})
	}
	return map[string]any{
		"clockMs": h.Clock,
		"born":    h.StartTime,
		"running": running,
		"ended":   ended,
	}
}

// AdvisorHandler returns the HTTP API of an advisor.
func AdvisorHandler(a leader.Advisor) http.Handler {
	m := chi.NewRouter()
	m.Post("/api/advise", func(w http.ResponseWriter, r *http.Request) {
		var q struct {
			Step    string               `json:"step"`
			Workers []spoolsill.WorkerID `json:"workers"`
		}
		if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		task, err := platform.ParseTaskID(q.Step + ".0")
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		tickets, valid, err := a.Ask(r.Context(), "", task.Stage, q.Workers)
		good := [][2]string{}
		for _, t := range tickets {
			good = append(good, [2]string{string(t.Worker), t.Text})
		}
		writeResponse(w, http.StatusOK, map[string]any{
			"good":     good,
			"valid_ms": valid.Milliseconds(),
		}, err)
	})
	return m
}
