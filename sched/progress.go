package sched

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/spoolsill/spoolsill"
)

// A Progress is what lasts of a job besides the job itself. A leader that
// takes over goes on from it.
type Progress struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads it

	State  JobState
	Stages []StageProgress
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
}

// EncodeProgress returns p as it is kept.
func EncodeProgress(p Progress) ([]byte, error) {
	return msgpack.Marshal(&p)
}

// DecodeProgress reads what [EncodeProgress] returned.
func DecodeProgress(b []byte) (Progress, error) {
	var p Progress
	err := msgpack.Unmarshal(b, &p)
	return p, err
}

const (
	// taskBytes is what the progress of one task may need: a worker's name,
	// a saved text of some 20 bytes, numbers.
	taskBytes = 56
	// stageBytes is what a stage needs besides.
	stageBytes = 24
)

// ProgressBytes returns how long the progress of a job may become.
func ProgressBytes(j Job) int {
	n := 0
	for i := range j.Steps {
		n += stageBytes + j.Steps[i].Tasks*taskBytes
	}
	return n * j.rounds()
}

// progress returns what is to be kept of j.
func (j *job) progress() Progress {
	p := Progress{
		State: j.state,
	}
	if j.state.Final() && j.runs == 0 {
		return p
	}
	for _, g := range j.stages {
		if g.begun() {
			p.Stages = append(p.Stages, g.progress())
			if p.State == Pending {
				p.State = Running
			}
		}
	}
	return p
}

func (g *stage) progress() StageProgress {
	p := StageProgress{
		Round: g.id.Round,
		Step:  g.id.Step,
		Done:  g.done(),
		Fails: g.fails,
	}
	if p.Done && !g.anyRun() {
		return p
	}
	p.Tasks = make([]TaskProgress, len(g.tasks))
	for i, t := range g.tasks {
		p.Tasks[i] = TaskProgress{
			Done:  t.done,
			Fails: t.fails,
			Run:   t.lastRun,
			Saved: t.saved,
		}
		if t.run != nil && t.run.phase != phasePlanned {
			p.Tasks[i].Worker = t.run.worker.id
		}
	}
	return p
}
