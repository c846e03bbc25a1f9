package logloss

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/spoolsill/spoolsill/logstory"
)

// An Outcome is whether and how a job ended.
type Outcome string

// The outcomes of jobs.
const (
	InTime        Outcome = "in time"
	Late          Outcome = "late"
	Failed        Outcome = "failed"    // a task failed as many times as the queue allows
	Cancelled     Outcome = "cancelled" // by its client
	NotEnded      Outcome = "not ended"
	NeverAccepted Outcome = "never accepted"
)

// A Reason is why a job was not in time.
type Reason string

// The reasons. If several apply, the first of these is reported: a lost worker, a failed
// run, an unreachable store while the job was open, a change of leader while the job was
// open, the dominant wait. RanLong means that none of them applies.
const (
	WorkerLost        Reason = "a worker with its work was lost"
	RunFailed         Reason = "a run failed"
	LeaderChanged     Reason = "the leader changed"
	StoreUnreachable  Reason = "the store was away"
	WaitedForQuota    Reason = "waited for its team's quota"
	WaitedBehindShare Reason = "waited beyond its team's share"
	WaitedForAdvice   Reason = "waited for advice"
	WaitedForCapacity Reason = "waited for room"
	RanLong           Reason = "ran"
)

// A Cause counts the jobs of a queue that were not in time and share an outcome and a
// reason.
type Cause struct {
	Fate   Outcome // named as in the JSON output of the losses command
	Reason Reason
	Jobs   int
}

// A Queue summarizes the jobs of one queue.
type Queue struct {
	Name   string
	Jobs   int
	InTime int
	// Causes counts the jobs that were not in time, the most frequent cause first.
	Causes []Cause
}

// minWaitShare is the fraction of a job's objective that a wait must exceed to be
// reported as the reason.
const minWaitShare = 0.2

// A job holds what the logs say about one job.
type job struct {
	queue               string
	firstSeen, lastSeen time.Time
	ended               bool
	state               string

	age, objective                      time.Duration
	adviceWait, capacityWait, quotaWait time.Duration
	// shareWait is the part of adviceWait and capacityWait in which the job exceeded the share of
	// its team.
	shareWait            time.Duration
	failedRuns, lostRuns int
}

// Summarize counts the jobs of saved logs by queue and returns the queues sorted by
// name. Jobs that no host accepted are counted under the path prefix that their clients
// called, since their queue is not known. Summarize sorts lines by time in place.
func Summarize(lines []logstory.Line) []Queue {
	slices.SortStableFunc(lines, func(a, b logstory.Line) int { return a.Time.Compare(b.Time) })
	jobs := map[string]*job{}
	var leaderChanges, outages []time.Time
	for _, l := range lines {
		switch l.Message {
		case "job accepted":
			recordAccepted(jobs, l)
		case "request refused":
			recordRefused(jobs, l)
		case "job ended":
			recordEnded(jobs, l)
		case "this host leads":
			leaderChanges = append(leaderChanges, l.Time)
		case "store not reachable":
			outages = append(outages, l.Time)
		}
	}
	queues := map[string]*Queue{}
	for _, j := range jobs {
		q := queues[j.queue]
		if q == nil {
			q = &Queue{
				Name: j.queue,
			}
			queues[j.queue] = q
		}
		q.add(j, leaderChanges, outages)
	}
	var out []Queue
	for _, q := range queues {
		slices.SortFunc(q.Causes, func(a, b Cause) int {
			return cmp.Or(-cmp.Compare(a.Jobs, b.Jobs), strings.Compare(string(a.Fate), string(b.Fate)), strings.Compare(string(a.Reason), string(b.Reason)))
		})
		out = append(out, *q)
	}
	slices.SortFunc(out, func(a, b Queue) int { return strings.Compare(a.Name, b.Name) })
	return out
}

func recordAccepted(jobs map[string]*job, l logstory.Line) {
	id := l.Text("job")
	j := jobs[id]
	if j == nil {
		j = &job{
			firstSeen: l.Time,
		}
		jobs[id] = j
	}
	j.queue = l.Text("queue")
	j.lastSeen = l.Time
}

// recordRefused records a refused submission. Clients retry submissions, so a refusal
// does not overwrite the record of a job that is already known.
func recordRefused(jobs map[string]*job, l logstory.Line) {
	path := l.Text("path")
	i := strings.LastIndexByte(path, '/')
	if l.Text("method") != "POST" || i < 0 {
		return
	}
	j := jobs[path[i+1:]]
	if j == nil {
		j = &job{
			queue:     path[:i+1],
			firstSeen: l.Time,
			state:     string(NeverAccepted),
		}
		jobs[path[i+1:]] = j
	}
	j.lastSeen = l.Time
}

func recordEnded(jobs map[string]*job, l logstory.Line) {
	j := jobs[l.Text("job")]
	if j == nil || j.ended {
		return
	}
	j.ended = true
	j.lastSeen = l.Time
	j.state, _, _ = strings.Cut(l.Text("reason"), ":")
	j.age = l.Millis("age_ms")
	j.objective = l.Millis("objective_ms")
	j.adviceWait = l.Millis("waited_advice_ms")
	j.capacityWait = l.Millis("waited_room_ms")
	j.quotaWait = l.Millis("waited_quota_ms")
	j.shareWait = l.Millis("waited_share_ms")
	j.failedRuns = int(l.Number("runs_failed"))
	j.lostRuns = int(l.Number("runs_lost"))
}

func (j *job) outcome() Outcome {
	switch {
	case !j.ended && j.state == string(NeverAccepted):
		return NeverAccepted
	case !j.ended:
		return NotEnded
	case j.state == "cancelled":
		return Cancelled
	case j.state == "failed":
		return Failed
	case j.age > j.objective:
		return Late
	default:
		return InTime
	}
}

// reason returns why j was not in time. Recorded failures take precedence over long
// waits because a wait may itself have another cause.
func (j *job) reason(leaderChanges, outages []time.Time) Reason {
	during := func(times []time.Time) bool {
		return slices.ContainsFunc(times, func(t time.Time) bool { return !t.Before(j.firstSeen) && !t.After(j.lastSeen) })
	}
	minWait := time.Duration(minWaitShare * float64(j.objective))
	switch {
	case j.lostRuns > 0:
		return WorkerLost
	case j.failedRuns > 0:
		return RunFailed
	case during(outages):
		return StoreUnreachable
	case during(leaderChanges):
		return LeaderChanged
	case j.quotaWait > minWait && j.quotaWait >= j.capacityWait+j.adviceWait:
		return WaitedForQuota
	case j.shareWait > minWait && 2*j.shareWait >= j.adviceWait+j.capacityWait:
		return WaitedBehindShare
	case j.adviceWait > minWait && j.adviceWait >= j.capacityWait:
		return WaitedForAdvice
	case j.capacityWait > minWait:
		return WaitedForCapacity
	default:
		return RanLong
	}
}

func (q *Queue) add(j *job, leaderChanges, outages []time.Time) {
	q.Jobs++
	o := j.outcome()
	if o == InTime {
		q.InTime++
		return
	}
	c := Cause{
		Fate:   o,
		Reason: j.reason(leaderChanges, outages),
	}
	i := slices.IndexFunc(q.Causes, func(x Cause) bool { return x.Fate == c.Fate && x.Reason == c.Reason })
	if i < 0 {
		q.Causes = append(q.Causes, c)
		i = len(q.Causes) - 1
	}
	q.Causes[i].Jobs++
}
