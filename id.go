package spoolsill

import (
	"fmt"
	"strconv"
	"strings"
)

// HallID names a hall, the zone that fails or is cut off as one.
type HallID string

// HostID names an entry host, one machine that runs spoolsilld.
type HostID string

// WorkerID names a worker, a machine that runs tasks.
type WorkerID string

// A Birth is when a life of a worker began, in milliseconds since 1970 by the worker's
// own time of day. It tells the lives of one id apart, and not which of them was first:
// a time of day may jump. Zero means that it is not told.
type Birth uint64

// A Life is one life of a worker. A worker that starts again may keep its id: then it
// knows nothing of before, and nothing that was believed of the former life holds for it.
type Life struct {
	Worker WorkerID
	Born   Birth
}

// MayBe reports whether a birth may be l's. One that is not told may be any.
func (l Life) MayBe(b Birth) bool {
	return l.Born == 0 || b == 0 || l.Born == b
}

// String returns the worker's id, and its birth if that is told.
func (l Life) String() string {
	if l.Born == 0 {
		return string(l.Worker)
	}
	return string(l.Worker) + "@" + strconv.FormatUint(uint64(l.Born), 10)
}

// RunnerID names a runner, an upstream process that answers requests.
type RunnerID string

// RackID names a rack, the fault domain of workers within a hall.
type RackID string

// ServiceID names a service that callers send requests to.
type ServiceID string

// JobID names a job within the cell.
type JobID string

// TeamID names a team, the owner of jobs and of a quota.
type TeamID string

// CallerID names a caller, the sender of requests.
type CallerID string

// RequestKey is chosen by the caller and names one request over all its
// retries. It may carry the hall that keeps its claim, as in "vake/7f31".
type RequestKey string

// PlanID names a plan that an operator may confirm.
type PlanID string

// Epoch counts the holders of a hall's lease. A higher epoch replaces every
// lower one.
type Epoch uint64

// Incarnation tells one life of a process from the next one of the same id.
// A later life has a larger number.
type Incarnation uint64

// Version counts accepted configurations from 1. Zero means none is known.
type Version uint64

// Sequence counts the records of a hall's journal from 1.
type Sequence uint64

// Attempt counts the starts of one task from 1.
type Attempt uint32

// A TaskID names one task of a job.
type TaskID struct {
	Job   JobID `json:"job"   msgpack:"j"`
	Index int   `json:"index" msgpack:"i"`
}

// String returns the id as "job.index".
func (t TaskID) String() string {
	return string(t.Job) + "." + strconv.Itoa(t.Index)
}

// ParseTaskID reads what [TaskID.String] wrote.
func ParseTaskID(s string) (TaskID, error) {
	i := strings.LastIndexByte(s, '.')
	if i < 1 {
		return TaskID{}, fmt.Errorf("task id %q: want job.index", s)
	}
	n, err := strconv.Atoi(s[i+1:])
	if err != nil || n < 0 {
		return TaskID{}, fmt.Errorf("task id %q: index is not a number from 0", s)
	}
	return TaskID{
		Job:   JobID(s[:i]),
		Index: n,
	}, nil
}

// HomeHall returns the hall named in the key, or "" when it names none.
func (k RequestKey) HomeHall() HallID {
	h, _, ok := strings.Cut(string(k), "/")
	if !ok {
		return ""
	}
	return HallID(h)
}
