package placebench

import (
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/naive"
	"github.com/spoolsill/spoolsill/place"
)

// A policy is a scheduler under test.
type policy interface {
	submit(now time.Time, j spoolsill.Job)
	cancel(now time.Time, id spoolsill.JobID)
	report(now time.Time, p place.Report)
	// decide returns the tasks to start and the tasks to checkpoint or stop.
	decide(now time.Time) (starts []start, preempted []spoolsill.TaskID)
}

// A start is one attempt of a task on a worker.
type start struct {
	task    spoolsill.TaskID
	attempt spoolsill.Attempt
	worker  spoolsill.WorkerID
}

// A placeScheduler is the policy of package place.
type placeScheduler struct {
	state *place.State
}

func newPlaceScheduler(c place.Config, workers []spoolsill.Worker) *placeScheduler {
	s := place.NewState(c)
	s.SetWorkers(workers)
	return &placeScheduler{
		state: s,
	}
}

func (s *placeScheduler) submit(now time.Time, j spoolsill.Job) {
	err := s.state.Apply(place.Record{
		Kind: place.JobAdded,
		At:   now.UnixMicro(),
		Job:  &j,
	})
	if err != nil {
		panic(err)
	}
}

func (s *placeScheduler) cancel(now time.Time, id spoolsill.JobID) {
	s.state.Cancel(now, []spoolsill.JobID{id})
}

func (s *placeScheduler) report(now time.Time, p place.Report) {
	s.state.Report(now, p)
}

func (s *placeScheduler) decide(now time.Time) ([]start, []spoolsill.TaskID) {
	var starts []start
	var preempted []spoolsill.TaskID
	for {
		records, full := s.state.Decide(now)
		for _, r := range records {
			switch r.Kind {
			case place.TaskPlaced:
				starts = append(starts, start{
					task:    r.Task,
					attempt: r.Attempt,
					worker:  r.Worker,
				})
			case place.TaskCheckpointing, place.TaskStopping:
				preempted = append(preempted, r.Task)
			}
		}
		if !full {
			return starts, preempted
		}
	}
}

// A naiveScheduler is the policy of a baseline scheduler of package naive.
type naiveScheduler struct {
	scheduler *naive.Scheduler
}

func (p *naiveScheduler) submit(_ time.Time, j spoolsill.Job) {
	p.scheduler.Submit(j)
}

func (p *naiveScheduler) cancel(_ time.Time, id spoolsill.JobID) {
	p.scheduler.Cancel(id)
}

func (p *naiveScheduler) report(_ time.Time, r place.Report) {
	if r.Outcome != place.Started {
		p.scheduler.TaskEnded(r.Task, r.Outcome != place.Exited)
	}
}

func (p *naiveScheduler) decide(time.Time) ([]start, []spoolsill.TaskID) {
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
