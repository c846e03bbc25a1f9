package sched

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/packed"
)

// A Progress is what lasts of a job besides the job itself. A leader that
// takes over goes on from it.
type Progress struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads it

	State  JobState
	Stages []StageProgress
	// Crashes has the tasks under which workers went. It is kept behind the rest, and
	// takes nothing where there are none: programs that do not know of it read a row
	// as if it was not there, and rows without it are read.
	Crashes []TaskCrashes `msgpack:"-"`
	// Team is whose job it is. The job's own row tells it too, but goes when the job
	// has ended. It is kept behind Crashes, and takes nothing where there is none.
	Team spoolsill.TeamID `msgpack:"-"`
	// Births are of the lives that Stages and Crashes name, in their order; none where no
	// birth is told. They are kept behind Team. Programs that do not know of them take the
	// lives for what their ids say, and rows without them are read so.
	Births []spoolsill.Birth `msgpack:"-"`
}

// eachBirth visits the births of the lives that p names, in the order in which they are kept.
func (p *Progress) eachBirth(visit func(b *spoolsill.Birth)) {
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

// births returns the births of the lives that p names, or nil when none is told.
func (p *Progress) births() []spoolsill.Birth {
	var all []spoolsill.Birth
	told := false
	p.eachBirth(func(b *spoolsill.Birth) {
		all = append(all, *b)
		told = told || *b != 0
	})
	if !told {
		return nil
	}
	return all
}

// setBirths has p name the lives of which births were kept.
func (p *Progress) setBirths(all []spoolsill.Birth) error {
	n := 0
	p.eachBirth(func(b *spoolsill.Birth) {
		if n < len(all) {
			*b = all[n]
		}
		n++
	})
	if n != len(all) {
		return fmt.Errorf("sched: progress names %d lives and has %d births", n, len(all))
	}
	return nil
}

// A TaskCrashes is what speaks for a task crashing the workers that start it.
type TaskCrashes struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads it

	Round int
	Step  int
	Index int
	// Lived is for how long runs have gone on that count.
	Lived  time.Duration
	Losses []Loss
}

// A StageProgress is the progress of one step in one round. Stages that have
// not begun are left out.
type StageProgress struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads it

	Round int
	Step  int
	// Done tells that all tasks are done; Tasks is empty then.
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
	// Worker is where the latest run may be; empty when it is over.
	Worker spoolsill.WorkerID
	Saved  string
	// Born is of the worker's life that the latest run was for. It is kept in Births.
	Born spoolsill.Birth `msgpack:"-"`
}

// EncodeProgress returns p as it is kept.
func EncodeProgress(p Progress) ([]byte, error) {
	values := []any{&p}
	births := p.births()
	switch {
	case births != nil:
		values = append(values, p.Crashes, p.Team, births)
	case p.Team != "":
		// Programs that do not know of teams read the value before it as crashes.
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

// DecodeProgress reads what [EncodeProgress] returned.
func DecodeProgress(b []byte) (Progress, error) {
	var p Progress
	rest, err := packed.Decode(b, &p)
	if err != nil {
		return Progress{}, err
	}
	if int(p.State) >= len(jobStateNames) {
		return Progress{}, fmt.Errorf("sched: progress has %s", p.State)
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
	if _, err = packed.Decode(rest, &p.Births); err != nil {
		return p, err
	}
	return p, p.setBirths(p.Births)
}

const (
	// taskBytes is what the progress of one task may need: a worker's name,
	// a saved text of some 20 bytes, numbers.
	taskBytes = 56
	// stageBytes is what a stage needs besides.
	stageBytes = 24
	// lossesKept bounds the losses that a row keeps, those of the tasks with the most
	// first; lossBytes is what one may need: a worker's name, and where it is the
	// task's only one, the task.
	lossesKept = 64
	lossBytes  = 48
	// birthBytes is what the birth of one life needs, and listBytes the list of them.
	birthBytes = 9
	listBytes  = 5
	// teamBytes is what the name of its team needs beside its bytes.
	teamBytes = 8
)

// MaxProgressBytes returns how long the progress of a job may become.
func MaxProgressBytes(j Job) int {
	n := 0
	for i := range j.Steps {
		n += stageBytes + j.Steps[i].Tasks*(taskBytes+birthBytes)
	}
	return n*j.rounds() + lossesKept*(lossBytes+birthBytes) + listBytes + teamBytes + len(j.Team)
}

// progress returns what is to be kept of j.
func (j *job) progress() Progress {
	p := Progress{
		State: j.state,
		Team:  j.Team,
	}
	if j.state.Final() && j.activeRuns == 0 {
		return p
	}
	for _, g := range j.stages {
		if g.begun() {
			p.Stages = append(p.Stages, g.progress())
			p.Crashes = append(p.Crashes, g.crashes()...)
			if p.State == Pending {
				p.State = Running
			}
		}
	}
	p.Crashes = mostLosses(p.Crashes)
	return p
}

// crashes returns what is to be kept of the crashes under g's tasks.
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
			Lived:  t.evidence.lived,
			Losses: t.evidence.losses,
		})
	}
	return cs
}

// mostLosses returns as many as a row keeps, those with the most losses.
func mostLosses(cs []TaskCrashes) []TaskCrashes {
	slices.SortStableFunc(cs, func(a, b TaskCrashes) int { return cmp.Compare(len(b.Losses), len(a.Losses)) })
	left := lossesKept
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
	if p.Done && !g.anyRun() {
		return p
	}
	p.Tasks = make([]TaskProgress, len(g.tasks))
	for i, t := range g.tasks {
		p.Tasks[i] = TaskProgress{
			Done:  t.done,
			Fails: t.failures,
			Run:   t.lastRun,
			Saved: t.saved,
		}
		if t.run != nil && t.run.phase != phasePlanned {
			p.Tasks[i].Worker = t.run.worker.id
			p.Tasks[i].Born = t.run.born
		}
	}
	return p
}
