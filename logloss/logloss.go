package logloss

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/spoolsill/spoolsill/logstory"
)

// A Fate is what became of a job.
type Fate string

// The fates of jobs.
const (
	InTime    Fate = "in time"
	Late      Fate = "late"
	Unfit     Fate = "failed"    // as often as its queue allows
	Cancelled Fate = "cancelled" // by its client
	Open      Fate = "not ended"
	Refused   Fate = "never accepted"
)

// A Reason is why a job was not in time.
type Reason string

// The reasons, the surest first.
const (
	WorkerLost    Reason = "a worker with its work was lost"
	RunFailed     Reason = "a run failed"
	LeaderChanged Reason = "the leader changed"
	StoreAway     Reason = "the store was away"
	WaitedQuota   Reason = "waited for its team's quota"
	WaitedAdvice  Reason = "waited for advice"
	WaitedRoom    Reason = "waited for room"
	RanLong       Reason = "ran"
)

// A Cause counts the jobs of a queue that were not in time for one reason.
type Cause struct {
	Fate   Fate
	Reason Reason
	Jobs   int
}

// A Queue tells what became of the jobs of one queue.
type Queue struct {
	Name   string
	Jobs   int
	InTime int
	// Causes has the others, the most frequent first.
	Causes []Cause
}

// notable is from what share of a late job's objective on a wait explains it.
const notable = 0.2

// A job is what the logs say of one.
type job struct {
	queue    string
	from, to time.Time
	ended    bool
	state    string

	took, objective     time.Duration
	advice, room, quota time.Duration
	failed, lost        int
}

// Of returns the queues of saved logs, in the order of their names. Jobs that no
// host accepted are told under the path prefix that clients called.
func Of(lines []logstory.Line) []Queue {
	slices.SortStableFunc(lines, func(a, b logstory.Line) int { return a.Time.Compare(b.Time) })
	jobs := map[string]*job{}
	var leaders, outages []time.Time
	for _, l := range lines {
		switch l.Message {
		case "job accepted":
			accepted(jobs, l)
		case "request refused":
			refused(jobs, l)
		case "job ended":
			ended(jobs, l)
		case "this host leads":
			leaders = append(leaders, l.Time)
		case "store not reachable":
			outages = append(outages, l.Time)
		}
	}
	counts := map[string]*Queue{}
	for _, j := range jobs {
		q := counts[j.queue]
		if q == nil {
			q = &Queue{
				Name: j.queue,
			}
			counts[j.queue] = q
		}
		q.add(j, leaders, outages)
	}
	var out []Queue
	for _, q := range counts {
		slices.SortFunc(q.Causes, func(a, b Cause) int {
			return cmp.Or(-cmp.Compare(a.Jobs, b.Jobs), strings.Compare(string(a.Fate), string(b.Fate)), strings.Compare(string(a.Reason), string(b.Reason)))
		})
		out = append(out, *q)
	}
	slices.SortFunc(out, func(a, b Queue) int { return strings.Compare(a.Name, b.Name) })
	return out
}

func accepted(jobs map[string]*job, l logstory.Line) {
	id := l.Text("job")
	j := jobs[id]
	if j == nil {
		j = &job{
			from: l.Time,
		}
		jobs[id] = j
	}
	j.queue = l.Text("queue")
	j.to = l.Time
}

// refused takes in a hand-in that was refused; it may come again.
func refused(jobs map[string]*job, l logstory.Line) {
	path := l.Text("path")
	i := strings.LastIndexByte(path, '/')
	if l.Text("method") != "POST" || i < 0 {
		return
	}
	j := jobs[path[i+1:]]
	if j == nil {
		j = &job{
			queue: path[:i+1],
			from:  l.Time,
			state: string(Refused),
		}
		jobs[path[i+1:]] = j
	}
	j.to = l.Time
}

func ended(jobs map[string]*job, l logstory.Line) {
	j := jobs[l.Text("job")]
	if j == nil || j.ended {
		return
	}
	j.ended = true
	j.to = l.Time
	j.state, _, _ = strings.Cut(l.Text("reason"), ":")
	j.took = l.Millis("age_ms")
	j.objective = l.Millis("objective_ms")
	j.advice = l.Millis("waited_advice_ms")
	j.room = l.Millis("waited_room_ms")
	j.quota = l.Millis("waited_quota_ms")
	j.failed = int(l.Number("runs_failed"))
	j.lost = int(l.Number("runs_lost"))
}

func (j *job) fate() Fate {
	switch {
	case !j.ended && j.state == string(Refused):
		return Refused
	case !j.ended:
		return Open
	case j.state == "cancelled":
		return Cancelled
	case j.state == "failed":
		return Unfit
	case j.took > j.objective:
		return Late
	default:
		return InTime
	}
}

// reason returns why j was not in time: what is sure goes before what is long.
func (j *job) reason(leaders, outages []time.Time) Reason {
	during := func(times []time.Time) bool {
		return slices.ContainsFunc(times, func(t time.Time) bool { return !t.Before(j.from) && !t.After(j.to) })
	}
	long := time.Duration(notable * float64(j.objective))
	switch {
	case j.lost > 0:
		return WorkerLost
	case j.failed > 0:
		return RunFailed
	case during(outages):
		return StoreAway
	case during(leaders):
		return LeaderChanged
	case j.quota > long && j.quota >= j.room+j.advice:
		return WaitedQuota
	case j.advice > long && j.advice >= j.room:
		return WaitedAdvice
	case j.room > long:
		return WaitedRoom
	default:
		return RanLong
	}
}

func (q *Queue) add(j *job, leaders, outages []time.Time) {
	q.Jobs++
	f := j.fate()
	if f == InTime {
		q.InTime++
		return
	}
	c := Cause{
		Fate:   f,
		Reason: j.reason(leaders, outages),
	}
	i := slices.IndexFunc(q.Causes, func(o Cause) bool { return o.Fate == c.Fate && o.Reason == c.Reason })
	if i < 0 {
		q.Causes = append(q.Causes, c)
		i = len(q.Causes) - 1
	}
	q.Causes[i].Jobs++
}
