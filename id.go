package spoolsill

import (
	"fmt"
	"strconv"
	"strings"
)

// HallID identifies a hall: a zone that fails, or loses its network, as a whole.
type HallID string

// HostID identifies an entry host, a machine that runs spoolsilld.
type HostID string

// WorkerID identifies a worker, a machine that runs tasks.
type WorkerID string

// A StartTime is the start time of a worker process, in milliseconds since the Unix epoch on
// the worker's own wall clock. It distinguishes the incarnations of one id but does not
// order them, since a wall clock may be set back. Zero means that it is unknown.
type StartTime uint64

// A WorkerIncarnation identifies a worker from one start to the next. A worker that restarts
// may keep its id but not its state, so nothing known about its previous incarnation applies
// to it.
type WorkerIncarnation struct {
	Worker WorkerID
	// StartTime is when the worker process started.
	StartTime StartTime
}

// Matches reports whether t may be i's start time. An unknown start time matches any.
func (i WorkerIncarnation) Matches(t StartTime) bool {
	return i.StartTime == 0 || t == 0 || i.StartTime == t
}

// String returns the worker's id, followed by its start time if that is known.
func (i WorkerIncarnation) String() string {
	if i.StartTime == 0 {
		return string(i.Worker)
	}
	return string(i.Worker) + "@" + strconv.FormatUint(uint64(i.StartTime), 10)
}

// RunnerID identifies a runner, an upstream process that serves requests.
type RunnerID string

// RackID identifies a rack, a fault domain of workers within a hall.
type RackID string

// ServiceID identifies a service that callers send requests to.
type ServiceID string

// JobID identifies a job within the cell.
type JobID string

// TeamID identifies a team, which owns jobs and a quota.
type TeamID string

// CallerID identifies a caller, which sends requests.
type CallerID string

// RequestKey is an idempotency key. The caller chooses it and uses it for all retries of
// a request. It may name the hall that stores its claim, as in "vake/7f31".
type RequestKey string

// PlanID identifies a plan that an operator may confirm.
type PlanID string

// Epoch is the fencing token of a lease or leadership. It grows with each new holder, and
// a higher epoch supersedes every lower one.
type Epoch uint64

// Incarnation distinguishes the successive processes with the same id. It grows with each
// restart.
type Incarnation uint64

// Version numbers the accepted configurations from 1. Zero means that none is known.
type Version uint64

// Sequence numbers the records of a hall's journal from 1.
type Sequence uint64

// Attempt numbers the starts of a task from 1.
type Attempt uint32

// A TaskID identifies a task of a job.
type TaskID struct {
	Job   JobID `json:"job"   msgpack:"j"`
	Index int   `json:"index" msgpack:"i"`
}

// String returns the id as "job.index".
func (t TaskID) String() string {
	return string(t.Job) + "." + strconv.Itoa(t.Index)
}

// ParseTaskID parses the format of [TaskID.String].
func ParseTaskID(s string) (TaskID, error) {
	i := strings.LastIndexByte(s, '.')
	if i < 1 {
		return TaskID{}, fmt.Errorf("task id %q: want job.index", s)
	}
	n, err := strconv.Atoi(s[i+1:])
	if err != nil || n < 0 {
		return TaskID{}, fmt.Errorf("task id %q: index must be a number of 0 or more", s)
	}
	return TaskID{
		Job:   JobID(s[:i]),
		Index: n,
	}, nil
}

// HomeHall returns the hall named in the key, or "" if it names none.
func (k RequestKey) HomeHall() HallID {
	h, _, ok := strings.Cut(string(k), "/")
	if !ok {
		return ""
	}
	return HallID(h)
}
