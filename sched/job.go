package sched

import (
	"fmt"
	"strconv"
	"time"

	"github.com/spoolsill/spoolsill"
)

// QueueID names a queue, the route that a job came in by.
type QueueID string

// ClockMillis is a time on a worker's own clock, in milliseconds. Clocks of
// different workers have nothing in common.
type ClockMillis int64

// A Step is a part of a job: tasks of one shape.
type Step struct {
	Tasks int
	Need  spoolsill.Resources
	// Estimate is the client's rough guess of a task's run time.
	Estimate time.Duration
	// After has the indices of the steps that must be done first.
	After []int
	// Checkpoints tells that workers save the tasks' progress.
	Checkpoints bool
	// Gang tasks run only together.
	Gang bool
	// SameRack tells that a gang spread over racks runs slower.
	SameRack bool
	// Requires is a label that the worker must have; empty means none.
	Requires string
	// NearRack has the data; elsewhere the tasks run slower.
	NearRack spoolsill.RackID
	// MaxPerWorker bounds the step's tasks at one worker; 0 means no bound.
	MaxPerWorker int
	// Copies tells that several runs of a task may go on side by side.
	Copies bool
	// Lasting tasks run until the job is cancelled.
	Lasting bool
	// Image names what the tasks run; tasks of one image behave alike.
	Image string
	// TailTarget is what the tail of a lasting task's answer times should
	// stay under; 0 means no target.
	TailTarget time.Duration
	// Fills tells that the tasks use only processor time that others leave.
	Fills bool
	// MayMiss is how many tasks of a lasting step may be away at once.
	MayMiss int
}

// A Job is what a client hands in. Its id was chosen by the client.
type Job struct {
	ID    spoolsill.JobID
	Queue QueueID
	// Team is whose job it is; empty where nobody asked. Rows of jobs that no team has
	// look as they did before there were teams.
	Team spoolsill.TeamID `msgpack:",omitempty"`
	// Spec is handed to the workers as it is.
	Spec  string
	Steps []Step
	// Rounds is how many times the steps run; 0 means once and at once.
	Rounds int
	// FirstRound is when round 0 is due, Interval the time between rounds.
	FirstRound time.Time
	Interval   time.Duration
	// Received is when the first host took the job in, by its wall clock.
	Received time.Time
}

// Bounds of a job, far above what hosts accept: a leader makes each task at once.
const (
	mostSteps  = 1 << 12
	mostTasks  = 1 << 20
	mostRounds = 1 << 20
)

// Check returns why a job is none that a host has accepted. One that was damaged, or
// that someone else wrote, would else end each process that leads.
func (j *Job) Check() error {
	if len(j.Steps) > mostSteps || j.Rounds < 0 || j.Rounds > mostRounds {
		return fmt.Errorf("sched: %d steps, %d rounds", len(j.Steps), j.Rounds)
	}
	total := 0
	for i, p := range j.Steps {
		if p.Tasks < 0 || p.Tasks > mostTasks || p.Need.Negative() {
			return fmt.Errorf("sched: step %d has %d tasks that need %v", i, p.Tasks, p.Need)
		}
		for _, a := range p.After {
			if a < 0 || a >= i {
				return fmt.Errorf("sched: step %d waits for step %d", i, a)
			}
		}
		total += p.Tasks
	}
	if total > mostTasks || total*j.rounds() > mostTasks {
		return fmt.Errorf("sched: %d tasks in %d rounds", total, j.rounds())
	}
	return nil
}

// rounds returns how many rounds the job has in all.
func (j *Job) rounds() int {
	return max(j.Rounds, 1)
}

// A JobState is where a job is in its life.
type JobState uint8

// The states of a job.
const (
	Pending   JobState = iota // accepted, no task has begun
	Running                   // a task has begun
	Completed                 // every task is done
	Failed                    // a task has failed as often as its queue allows
	Cancelled                 // its client gave it up
)

// Final reports whether a job in state s never changes again.
func (s JobState) Final() bool {
	return s >= Completed
}

var jobStateNames = [...]string{"pending", "running", "completed", "failed", "cancelled"}

// String returns the state's name.
func (s JobState) String() string {
	if int(s) >= len(jobStateNames) {
		return "state " + strconv.Itoa(int(s))
	}
	return jobStateNames[s]
}

// A StageID names one step in one round of a job.
type StageID struct {
	Job   spoolsill.JobID
	Round int
	Step  int
}

// String returns the id as "job.round.step".
func (i StageID) String() string {
	return string(i.Job) + "." + strconv.Itoa(i.Round) + "." + strconv.Itoa(i.Step)
}

// A TaskID names one task of a stage.
type TaskID struct {
	Stage StageID
	Index int
}

// String returns the id as "job.round.step.index".
func (i TaskID) String() string {
	return i.Stage.String() + "." + strconv.Itoa(i.Index)
}

// RunNumber counts the starts of a task from 1. All tasks of a gang share it.
type RunNumber uint32

// A RunID names one start of a task.
type RunID struct {
	Task   TaskID
	Number RunNumber
}

// An Advisor describes the service that knows which workers may run a stage.
type Advisor struct {
	// Base and PerWorker are what one question costs.
	Base      time.Duration
	PerWorker time.Duration
}

// queryTime returns how long a question about n workers takes.
func (a *Advisor) queryTime(n int) time.Duration {
	return a.Base + time.Duration(n)*a.PerWorker
}

// A Queue is the part of the configuration that concerns one queue.
type Queue struct {
	ID      QueueID
	Service spoolsill.ServiceID
	// Priority 0 goes first.
	Priority int
	// MaxAttempts is how often a task may fail.
	MaxAttempts int
	// A job should be done within Stretch times its longest chain of work
	// and Goal more.
	Stretch float64
	Goal    time.Duration
	// Advisor must be asked before a start; nil means that any worker will do.
	Advisor *Advisor
}
