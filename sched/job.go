package sched

import (
	"fmt"
	"strconv"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/saturate"
)

// QueueID identifies a queue, the route by which a job was submitted.
type QueueID string

// ClockMillis is a time on a worker's own clock, in milliseconds. The clocks of different
// workers are not comparable.
type ClockMillis int64

// A Step is a part of a job that consists of identical tasks.
type Step struct {
	Tasks int
	Need  spoolsill.Resources
	// Estimate is the client's rough estimate of a task's run time.
	Estimate time.Duration
	// After has the indices of the steps that must be done before this one starts.
	After []int
	// Checkpoints means that workers save the progress of the tasks.
	Checkpoints bool
	// Gang means that the tasks run only all together.
	Gang bool
	// SameRack means that a gang runs slower when spread over racks.
	SameRack bool
	// Requires is a label that the worker must have; empty means none.
	Requires string
	// NearRack is the rack with the tasks' data. They run slower elsewhere.
	NearRack spoolsill.RackID
	// MaxPerWorker limits the step's tasks at one worker; 0 means no limit.
	MaxPerWorker int
	// Copies means that several runs of a task may run concurrently.
	Copies bool
	// Lasting tasks run until the job is cancelled.
	Lasting bool
	// Image names the program that the tasks run. Tasks of one image behave alike.
	Image string
	// TailTarget is the target for the tail latency of a lasting task; 0 means none.
	TailTarget time.Duration
	// Fills means that the tasks only use processor time that is otherwise idle.
	Fills bool
	// MayMiss is the number of tasks of a lasting step that may be down at the same time.
	MayMiss int
}

// A Job is a unit of work as submitted by a client, who also chose its id.
type Job struct {
	ID    spoolsill.JobID
	Queue QueueID
	// Team is the owner of the job, or empty if it was submitted without one. It is
	// omitted from the row then, which keeps rows of such jobs in the format that
	// predates teams.
	Team spoolsill.TeamID `msgpack:",omitempty"`
	// Spec is passed to the workers unchanged.
	Spec  string
	Steps []Step
	// Rounds is how many times the steps run; 0 means once and immediately.
	Rounds int
	// FirstRound is when round 0 is due, Interval the time between rounds.
	FirstRound time.Time
	Interval   time.Duration
	// Received is when the first host accepted the job, by its wall clock.
	Received time.Time
}

// Limits of a job that hosts accept and leaders read back. They bound the work of a leader,
// which creates all tasks of a step at once.
const (
	maxSteps  = 1000
	maxTasks  = 100_000 // of all rounds
	maxRounds = 100_000
)

// maxNeed is more than any worker has, so that a task that needs it can't be placed.
var maxNeed = spoolsill.Resources{
	Processors:   1 << 27 * spoolsill.Millicores(1),
	Memory:       1 << 49 * spoolsill.Bytes(1),
	Accelerators: 1 << 14,
}

// maxEstimate is the longest estimate of a run time. Sums over the steps of a job do not overflow.
const maxEstimate = 30 * 24 * time.Hour

// The range of the due times of rounds. Differences between them, or from the time of day, do
// not overflow.
var (
	minDue = time.Unix(0, 0)
	maxDue = minDue.AddDate(200, 0, 0)
)

// Normalize limits the amounts and times of a job to the ranges that decisions can compute with.
// Tasks that need more than any worker has still do afterwards. Rows of releases that did
// not limit a job's memory may have a negative amount, which stands for too large a one.
func (j *Job) Normalize() {
	j.Interval = max(j.Interval, 0)
	if j.Rounds > 0 && j.FirstRound.Before(minDue) {
		j.FirstRound = minDue
	}
	if j.FirstRound.After(maxDue) {
		j.FirstRound = maxDue
	}
	for i := range j.Steps {
		p := &j.Steps[i]
		if p.Need.Negative() {
			p.Need = maxNeed
		}
		p.Need = p.Need.Clamp(spoolsill.Resources{}, maxNeed)
		p.Estimate = min(max(p.Estimate, 0), maxEstimate)
		p.TailTarget = min(max(p.TailTarget, 0), maxEstimate)
		p.MaxPerWorker = max(p.MaxPerWorker, 0)
		p.MayMiss = max(p.MayMiss, 0)
	}
}

// dueAt returns when round k of a timed job is due.
func (j *Job) dueAt(k int) time.Time {
	due := j.FirstRound.Add(saturate.Mul(time.Duration(k), j.Interval))
	if due.After(maxDue) {
		return maxDue
	}
	return due
}

// Check returns an error if no host can have accepted the job. Without the check, a row
// that was damaged or written by someone else would crash every process that leads.
func (j *Job) Check() error {
	if len(j.Steps) > maxSteps || j.Rounds < 0 || j.Rounds > maxRounds {
		return fmt.Errorf("sched: invalid job: %d steps, %d rounds", len(j.Steps), j.Rounds)
	}
	total := 0
	for i, p := range j.Steps {
		if p.Tasks < 0 || p.Tasks > maxTasks || p.Need.Negative() {
			return fmt.Errorf("sched: invalid step %d: %d tasks that need %v", i, p.Tasks, p.Need)
		}
		for _, a := range p.After {
			if a < 0 || a >= i {
				return fmt.Errorf("sched: step %d depends on step %d, which is not an earlier one", i, a)
			}
		}
		total += p.Tasks
	}
	if total > maxTasks || total*j.rounds() > maxTasks {
		return fmt.Errorf("sched: %d tasks in %d rounds", total, j.rounds())
	}
	return nil
}

// rounds returns the total number of rounds.
func (j *Job) rounds() int {
	return max(j.Rounds, 1)
}

// A JobState is the state of a job in its lifecycle.
type JobState uint8

// The states of a job.
const (
	Pending   JobState = iota // accepted, no task has started
	Running                   // a task has started
	Completed                 // all tasks are done
	Failed                    // a task has failed MaxAttempts times
	Cancelled                 // cancelled by its client
)

// Final reports whether s is an end state.
func (s JobState) Final() bool {
	return s >= Completed
}

var jobStateNames = [...]string{"pending", "running", "completed", "failed", "cancelled"}

// String returns the name of the state.
func (s JobState) String() string {
	if int(s) >= len(jobStateNames) {
		return "state " + strconv.Itoa(int(s))
	}
	return jobStateNames[s]
}

// A StageID identifies one step in one round of a job.
type StageID struct {
	Job   spoolsill.JobID
	Round int
	Step  int
}

// String returns the id as "job.round.step".
func (i StageID) String() string {
	return string(i.Job) + "." + strconv.Itoa(i.Round) + "." + strconv.Itoa(i.Step)
}

// A TaskID identifies one task of a stage.
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

// A RunID identifies one start of a task.
type RunID struct {
	Task   TaskID
	Number RunNumber
}

// An Advisor describes the service that knows which workers may run a stage.
type Advisor struct {
	// A query about n workers takes Base + n*PerWorker.
	Base      time.Duration
	PerWorker time.Duration
}

// queryTime returns how long a query about n workers takes.
func (a *Advisor) queryTime(n int) time.Duration {
	return a.Base + time.Duration(n)*a.PerWorker
}

// A Queue is the configuration of one queue.
type Queue struct {
	ID      QueueID
	Service spoolsill.ServiceID
	// Priority 0 is the highest.
	Priority int
	// MaxAttempts is how often a task may fail.
	MaxAttempts int
	// The objective of a job is to be done within Stretch times its critical path plus
	// Goal.
	Stretch float64
	Goal    time.Duration
	// Advisor must be queried before a start; nil means that any worker may be used.
	Advisor *Advisor
}
