package node

import (
	"errors"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/leader"
	"github.com/spoolsill/spoolsill/sched"
)

// The types below represent calls to workers between hosts. They are encoded as arrays,
// without field names, since a small link transfers thousands of them a second.

type wireTarget struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads it

	Worker  spoolsill.WorkerID
	Address string
	Fence   spoolsill.Epoch
}

func targetOf(t leader.Target, fence spoolsill.Epoch) wireTarget {
	return wireTarget{
		Worker:  t.Worker,
		Address: t.Address,
		Fence:   fence,
	}
}

func (t wireTarget) target() leader.Target {
	return leader.Target{
		WorkerIncarnation: spoolsill.WorkerIncarnation{
			Worker: t.Worker,
		},
		Address: t.Address,
	}
}

type wireRun struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads it

	Job    spoolsill.JobID
	Round  int
	Step   int
	Index  int
	Number sched.RunNumber
}

func wireRunOf(r sched.RunID) wireRun {
	return wireRun{
		Job:    r.Task.Stage.Job,
		Round:  r.Task.Stage.Round,
		Step:   r.Task.Stage.Step,
		Index:  r.Task.Index,
		Number: r.Number,
	}
}

func (r wireRun) run() sched.RunID {
	return sched.RunID{
		Task: sched.TaskID{
			Stage: sched.StageID{
				Job:   r.Job,
				Round: r.Round,
				Step:  r.Step,
			},
			Index: r.Index,
		},
		Number: r.Number,
	}
}

type renewRequest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads it

	Target   wireTarget
	Deadline sched.ClockMillis
	LastSeen uint64
	Wait     time.Duration
	Within   time.Duration
}

func renewRequestOf(l leader.Renewal) renewRequest {
	return renewRequest{
		Target:   targetOf(l.Target, l.Fence),
		Deadline: l.Deadline,
		LastSeen: l.LastAcked,
		Wait:     l.Wait,
		Within:   l.Timeout,
	}
}

func (q renewRequest) renewal() leader.Renewal {
	return leader.Renewal{
		Target:    q.Target.target(),
		Fence:     q.Target.Fence,
		Deadline:  q.Deadline,
		LastAcked: q.LastSeen,
		Wait:      q.Wait,
		Timeout:   q.Within,
	}
}

type startRequest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads it

	Target   wireTarget
	Deadline sched.ClockMillis
	Run      wireRun
	Spec     string
	Saved    string
	Ticket   string
	Within   time.Duration
}

func startRequestOf(o leader.Start) startRequest {
	return startRequest{
		Target:   targetOf(o.Target, o.Fence),
		Deadline: o.Deadline,
		Run:      wireRunOf(o.Order.Run),
		Spec:     o.Order.Spec,
		Saved:    o.Order.Saved,
		Ticket:   o.Order.Ticket,
		Within:   o.Timeout,
	}
}

func (q startRequest) start() leader.Start {
	return leader.Start{
		Target:   q.Target.target(),
		Fence:    q.Target.Fence,
		Deadline: q.Deadline,
		Order: sched.StartOrder{
			WorkerIncarnation: spoolsill.WorkerIncarnation{
				Worker: q.Target.Worker,
			},
			Run:    q.Run.run(),
			Spec:   q.Spec,
			Saved:  q.Saved,
			Ticket: q.Ticket,
		},
		Timeout: q.Within,
	}
}

type stopRequest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads it

	Target wireTarget
	Run    wireRun
	Within time.Duration
}

func stopRequestOf(o leader.Stop) stopRequest {
	return stopRequest{
		Target: targetOf(o.Target, o.Fence),
		Run:    wireRunOf(o.Run),
		Within: o.Timeout,
	}
}

func (q stopRequest) stop() leader.Stop {
	return leader.Stop{
		Target:  q.Target.target(),
		Fence:   q.Target.Fence,
		Run:     q.Run.run(),
		Timeout: q.Within,
	}
}

type orderReply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads it

	Kind  leader.ReplyKind
	Clock sched.ClockMillis
	Err   string
}

func orderReplyOf(r leader.Reply) orderReply {
	x := orderReply{
		Kind:  r.Kind,
		Clock: r.Clock,
	}
	if r.Err != nil {
		x.Err = r.Err.Error()
	}
	return x
}

func (r orderReply) reply() leader.Reply {
	x := leader.Reply{
		Kind:  r.Kind,
		Clock: r.Clock,
	}
	if r.Err != "" {
		x.Err = errors.New(r.Err)
	}
	return x
}

type wireRunning struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads it

	Run     wireRun
	Saved   string
	Percent int
	Load    int
}

type wireEnd struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads it

	Sequence uint64
	Run      wireRun
	Kind     sched.EndKind
	Saved    string
}

type renewReply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads it

	Reply   orderReply
	Running []wireRunning
	Ended   []wireEnd
	Partial bool
}

func renewReplyOf(h sched.Heartbeat, r leader.Reply) renewReply {
	x := renewReply{
		Reply:   orderReplyOf(r),
		Partial: h.Partial,
	}
	for _, t := range h.Running {
		x.Running = append(x.Running, wireRunning{
			Run:     wireRunOf(t.Run),
			Saved:   t.Saved,
			Percent: t.Percent,
			Load:    t.Load,
		})
	}
	for _, e := range h.Ended {
		x.Ended = append(x.Ended, wireEnd{
			Sequence: e.Sequence,
			Run:      wireRunOf(e.Run),
			Kind:     e.Kind,
			Saved:    e.Saved,
		})
	}
	return x
}

// A renewIncarnationReply is a renewReply with the start time of the worker incarnation
// that answered. It is a separate type because hosts of earlier releases only decode
// arrays of the length that they know.
type renewIncarnationReply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads it

	Born  spoolsill.StartTime
	Renew renewReply
}

// heartbeat returns the heartbeat that a worker's incarnation sent in response to a call
// made at the given time.
func (r renewReply) heartbeat(l spoolsill.WorkerIncarnation, sent time.Time) sched.Heartbeat {
	h := sched.Heartbeat{
		WorkerIncarnation: l,
		Sent:              sent,
		Clock:             r.Reply.Clock,
		Partial:           r.Partial,
	}
	for _, t := range r.Running {
		h.Running = append(h.Running, sched.RunningTask{
			Run:     t.Run.run(),
			Saved:   t.Saved,
			Percent: t.Percent,
			Load:    t.Load,
		})
	}
	for _, e := range r.Ended {
		h.Ended = append(h.Ended, sched.End{
			Sequence: e.Sequence,
			Run:      e.Run.run(),
			Kind:     e.Kind,
			Saved:    e.Saved,
		})
	}
	return h
}
