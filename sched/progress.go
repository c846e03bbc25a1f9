package sched

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/packed"
)

// A Progress is the part of a job's state that is stored in addition to the job itself. A
// new leader resumes from it.
type Progress struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads it

	State  JobState
	Stages []StageProgress
	// Crashes has the tasks that are suspected of crashing workers. It is stored after the
	// struct and omitted if empty: programs that don't know it ignore it, and rows without
	// it can be read.
	Crashes []TaskCrashes `msgpack:"-"`
	// Team is the owner of the job. The job's row has it too, but is deleted when the job
	// has ended. It is stored after Crashes and omitted if empty.
	Team spoolsill.TeamID `msgpack:"-"`
	// StartTimes has the start times of the incarnations that Stages and Crashes name, in
	// the order of eachStartTime, or is empty if none is known. It is stored after Team.
	// In rows without it, and for programs that don't know it, the worker id alone
	// identifies an incarnation.
	StartTimes []spoolsill.StartTime `msgpack:"-"`
}

// eachStartTime calls visit for the start times of the incarnations that p names, in the
// order in which they are stored.
func (p *Progress) eachStartTime(visit func(b *spoolsill.StartTime)) {
	for i := range p.Stages {
		for j := range p.Stages[i].Tasks {
			if t := &p.Stages[i].Tasks[j]; t.Worker != "" {
				visit(&t.Born)
			}
		}
	}
	for i := range p.Crashes {
		for j := range p.Crashes[i].Losses {
			visit(&p.Crashes[i].Losses[j].Born)
		}
	}
}

// collectStartTimes returns the start times of the incarnations that p names, or nil if none
// is known.
func (p *Progress) collectStartTimes() []spoolsill.StartTime {
	var all []spoolsill.StartTime
	known := false
	p.eachStartTime(func(b *spoolsill.StartTime) {
		all = append(all, *b)
		known = known || *b != 0
	})
	if !known {
		return nil
	}
	return all
}

// setStartTimes assigns stored start times to the incarnations that p names.
func (p *Progress) setStartTimes(all []spoolsill.StartTime) error {
	n := 0
	p.eachStartTime(func(b *spoolsill.StartTime) {
		if n < len(all) {
			*b = all[n]
		}
		n++
	})
	if n != len(all) {
		return fmt.Errorf("sched: progress names %d incarnations but has %d start times", n, len(all))
	}
	return nil
}

// TaskCrashes is the stored evidence that a task crashes its workers.
type TaskCrashes struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads it

	Round int
	Step  int
	Index int
	// Lived is the total run time that counts as evidence.
	Lived  time.Duration
	Losses []Loss
}

// A StageProgress is the progress of one step in one round. Stages that have not started
// are omitted.
type StageProgress struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads it

	Round int
	Step  int
	// Done means that all tasks are done. Tasks is empty then, unless runs are left.
	Done  bool
	Fails int
	Tasks []TaskProgress
}

// A TaskProgress is the progress of one task.
type TaskProgress struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads it

	Done  bool
	Fails int
	Run   RunNumber
	// Worker is where the latest run may be; empty once it has ended.
	Worker spoolsill.WorkerID
	Saved  string
	// Born is the start time of the worker's incarnation that the latest run was ordered
	// for. It is stored in StartTimes.
	Born spoolsill.StartTime `msgpack:"-"`
}

// EncodeProgress returns p in its stored form.
func EncodeProgress(p Progress) ([]byte, error) {
	values := []any{&p}
	startTimes := p.collectStartTimes()
	switch {
	case startTimes != nil:
		values = append(values, p.Crashes, p.Team, startTimes)
	case p.Team != "":
		// Crashes is written even if empty: readers that don't know Team expect it first.
		values = append(values, p.Crashes, p.Team)
	case len(p.Crashes) > 0:
		values = append(values, p.Crashes)
	}
	var b []byte
	for _, v := range values {
		x, err := packed.Encode(v)
		if err != nil {
			return nil, err
		}
		b = append(b, x...)
	}
	return b, nil
}

// DecodeProgress decodes the result of [EncodeProgress].
func DecodeProgress(b []byte) (Progress, error) {
	var p Progress
	rest, err := packed.Decode(b, &p)
	if err != nil {
		return Progress{}, err
	}
	if int(p.State) >= len(jobStateNames) {
		return Progress{}, fmt.Errorf("sched: invalid job state in progress: %s", p.State)
	}
	if len(rest) == 0 {
		return p, nil
	}
	rest, err = packed.Decode(rest, &p.Crashes)
	if err != nil || len(rest) == 0 {
		return p, err
	}
	rest, err = packed.Decode(rest, &p.Team)
	if err != nil || len(rest) == 0 {
		return p, err
	}
	if _, err = packed.Decode(rest, &p.StartTimes); err != nil {
		return p, err
	}
	return p, p.setStartTimes(p.StartTimes)
}

const (
	// maxTaskBytes is the maximum size of the progress of a task: a worker id, a saved
	// text of about 20 bytes and numbers.
	maxTaskBytes = 56
	// maxStageBytes is the maximum size of the rest of a stage.
	maxStageBytes = 24
	// maxLosses limits the losses in a row; tasks with more losses are kept first.
	// maxLossBytes is the maximum size of one: a worker id and, if it is the only one of
	// its task, the task.
	maxLosses    = 64
	maxLossBytes = 48
	// maxStartTimeBytes is the maximum size of a start time, maxListBytes that of the list's
	// header.
	maxStartTimeBytes = 9
	maxListBytes      = 5
	// maxTeamBytes is the maximum overhead of the team in addition to its id.
	maxTeamBytes = 8
)

// MaxProgressBytes returns an upper bound of the encoded size of a job's progress.
func MaxProgressBytes(j Job) int {
	n := 0
	for i := range j.Steps {
		n += maxStageBytes + j.Steps[i].Tasks*(maxTaskBytes+maxStartTimeBytes)
	}
	return n*j.rounds() + maxLosses*(maxLossBytes+maxStartTimeBytes) + maxListBytes + maxTeamBytes + len(j.Team)
}

// progress returns the progress to store for j.
func (j *job) progress() Progress {
	p := Progress{
		State: j.state,
		Team:  j.Team,
	}
	if j.state.Final() && j.activeRuns == 0 {
		return p
	}
	for _, g := range j.stages {
		if g.started() {
			p.Stages = append(p.Stages, g.progress())
			p.Crashes = append(p.Crashes, g.crashes()...)
			if p.State == Pending {
				p.State = Running
			}
		}
	}
	p.Crashes = truncateLosses(p.Crashes)
	return p
}

// crashes returns the evidence to store for the unfinished tasks of g.
func (g *stage) crashes() []TaskCrashes {
	var cs []TaskCrashes
	for _, t := range g.tasks {
		if t.done || len(t.evidence.losses) == 0 {
			continue
		}
		cs = append(cs, TaskCrashes{
			Round:  g.id.Round,
			Step:   g.id.Step,
			Index:  t.index,
			Lived:  t.evidence.runTime,
			Losses: t.evidence.losses,
		})
	}
	return cs
}

// truncateLosses returns the entries of cs with the most losses, up to maxLosses losses in
// total.
func truncateLosses(cs []TaskCrashes) []TaskCrashes {
	slices.SortStableFunc(cs, func(a, b TaskCrashes) int { return cmp.Compare(len(b.Losses), len(a.Losses)) })
	left := maxLosses
	for i, c := range cs {
		left -= len(c.Losses)
		if left < 0 {
			return cs[:i]
		}
	}
	return cs
}

func (g *stage) progress() StageProgress {
	p := StageProgress{
		Round: g.id.Round,
		Step:  g.id.Step,
		Done:  g.done(),
		Fails: g.gangFailures,
	}
	if p.Done && !g.hasRuns() {
		return p
	}
	p.Tasks = make([]TaskProgress, len(g.tasks))
	saved := false // members of a gang resume from the first text
	for i, t := range g.tasks {
		p.Tasks[i] = TaskProgress{
			Done:  t.done,
			Fails: t.failures,
			Run:   t.lastRun,
		}
		if !t.done && (!g.step.Gang || !saved) {
			p.Tasks[i].Saved = t.saved
			saved = saved || t.saved != ""
		}
		if t.run != nil && t.run.phase != phasePlanned {
			p.Tasks[i].Worker = t.run.worker.id
			p.Tasks[i].Born = t.run.workerStartTime
		}
	}
	return p
}
