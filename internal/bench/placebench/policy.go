package placebench

import (
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/naive"
	"github.com/spoolsill/spoolsill/place"
)

// A policy decides which task starts where.
type policy interface {
	submit(now time.Time, j spoolsill.Job)
	cancel(now time.Time, id spoolsill.JobID)
	report(now time.Time, p place.Report)
	// decide returns what starts and what is checkpointed or stopped.
	decide(now time.Time) (starts []start, leave []spoolsill.TaskID)
}

// A start is one task that starts on a worker; an empty worker is the bound's.
type start struct {
	task    spoolsill.TaskID
	attempt spoolsill.Attempt
	worker  spoolsill.WorkerID
}

// ours is package place.
type ours struct {
	state *place.State
}

func newOurs(c place.Config, workers []spoolsill.Worker) *ours {
	s := place.NewState(c)
	s.SetWorkers(workers)
	return &ours{
		state: s,
	}
}

func (o *ours) submit(now time.Time, j spoolsill.Job) {
	err := o.state.Apply(place.Record{
		Kind: place.JobAdded,
		At:   now.UnixMicro(),
		Job:  &j,
	})
	if err != nil {
		panic(err)
	}
}

func (o *ours) cancel(now time.Time, id spoolsill.JobID) {
	o.state.Cancel(now, []spoolsill.JobID{id})
}

func (o *ours) report(now time.Time, p place.Report) {
	o.state.Report(now, p)
}

func (o *ours) decide(now time.Time) ([]start, []spoolsill.TaskID) {
	var starts []start
	var leave []spoolsill.TaskID
	for {
		records, full := o.state.Decide(now)
		for _, r := range records {
			switch r.Kind {
			case place.TaskPlaced:
				starts = append(starts, start{
					task:    r.Task,
					attempt: r.Attempt,
					worker:  r.Worker,
				})
			case place.TaskCheckpointing, place.TaskStopping:
				leave = append(leave, r.Task)
			}
		}
		if !full {
			return starts, leave
		}
	}
}

// plain is one of the naive schedulers.
type plain struct {
	scheduler *naive.Scheduler
}

func (p *plain) submit(_ time.Time, j spoolsill.Job) {
	p.scheduler.Submit(j)
}

func (p *plain) cancel(_ time.Time, id spoolsill.JobID) {
	p.scheduler.Cancel(id)
}

func (p *plain) report(_ time.Time, r place.Report) {
	if r.Outcome != place.Started {
		p.scheduler.TaskEnded(r.Task, r.Outcome != place.Exited)
	}
}

func (p *plain) decide(time.Time) ([]start, []spoolsill.TaskID) {
	var out []start
	for _, x := range p.scheduler.Schedule() {
		out = append(out, start{
			task:    x.Task,
			attempt: x.Attempt,
			worker:  x.Worker,
		})
	}
	return out, nil
}
