package sched_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// A rankModel computes the order of placement by its definition.
type rankModel struct {
	wall   time.Time
	queues map[sched.QueueID]sched.Queue
	// overShare are the jobs over the share of their team.
	overShare map[spoolsill.JobID]bool
}

// setOverShare sets overShare for a team whose part of the cell is next to nothing, in a full cell:
// a job is over the share if it is not the most urgent one of those within the share.
func (m *rankModel) setOverShare(jobs map[spoolsill.JobID]sched.Job) {
	var team []sched.Job
	for _, j := range jobs {
		uses := slices.ContainsFunc(j.Steps, func(p sched.Step) bool { return !p.Lasting && p.Estimate > 0 })
		if j.Team == "busy" && j.Rounds == 0 && uses && j.Queue != "unnamed" {
			team = append(team, j)
		}
	}
	slices.SortFunc(team, func(a, b sched.Job) int {
		return cmp.Or(a.Received.Compare(b.Received), cmp.Compare(a.ID, b.ID))
	})
	var within []time.Time // the latest starts of the jobs within the share
	for _, j := range team {
		longest, objective := m.objective(j)
		latest := j.Received.Add(objective - longest)
		if slices.ContainsFunc(within, func(t time.Time) bool { return !t.After(latest) }) {
			m.overShare[j.ID] = true
			continue
		}
		within = append(within, latest)
	}
}

// objective returns the expected time of the longest chain of steps of a job, and its objective.
func (m *rankModel) objective(j sched.Job) (longest, objective time.Duration) {
	q := m.queues[j.Queue]
	for i := range j.Steps {
		longest = max(longest, m.remaining(j, i))
	}
	return longest, time.Duration(q.Stretch*float64(longest)) + q.Goal
}

// remaining returns the expected time from the start of a step to the end of the longest
// chain of steps that begins with it.
func (m *rankModel) remaining(j sched.Job, step int) time.Duration {
	var longest time.Duration
	for i, p := range j.Steps {
		if slices.Contains(p.After, step) {
			longest = max(longest, m.remaining(j, i))
		}
	}
	return j.Steps[step].Estimate + longest
}

// key returns what the stages are sorted by: class, age if they earn nothing any more,
// priority and slack.
func (m *rankModel) key(j sched.Job, id sched.StageID) []int64 {
	q := m.queues[j.Queue]
	_, objective := m.objective(j)
	since := j.Received
	if j.Rounds > 0 {
		since = j.FirstRound.Add(time.Duration(id.Round) * j.Interval)
	}
	expected := m.wall.Sub(since) + m.remaining(j, id.Step)
	slack := objective - expected
	const urgent, onTime, late, overShare, worthless = 0, 1, 2, 3, 4
	class := onTime
	switch {
	case j.Steps[id.Step].Lasting:
		slack = 0
	case expected > 3*objective:
		class = worthless
	case expected > objective:
		class = late
	case q.Priority == 0:
		class = urgent
	}
	if m.overShare[j.ID] {
		class = max(class, overShare)
	}
	byAge := int64(0)
	if class == worthless {
		byAge = -int64(m.wall.Sub(since))
	}
	return []int64{int64(class), byAge, int64(q.Priority), int64(slack)}
}

// placedStages returns the stages in the order in which their first tasks were placed.
func placedStages(notes []sched.Note) []sched.StageID {
	var ids []sched.StageID
	for _, n := range notes {
		if id := n.Run.Task.Stage; n.Kind == sched.NotePlaced && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// drawDuration draws one of a few multiples of a unit, so that equal ranks are common.
func drawDuration(t *rapid.T, unit time.Duration, most int, label string) time.Duration {
	return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * unit
}

func drawRankedJob(t *rapid.T, i int, wall time.Time) sched.Job {
	j := sched.Job{
		ID:       spoolsill.JobID(fmt.Sprintf("j%d", i)),
		Queue:    rapid.SampledFrom([]sched.QueueID{"urgent", "normal", "slow", "unnamed"}).Draw(t, "queue"),
		Team:     rapid.SampledFrom([]spoolsill.TeamID{"", "", "busy"}).Draw(t, "team"),
		Received: wall.Add(-drawDuration(t, 700*time.Millisecond, 6, "age")),
	}
	for k := range rapid.IntRange(1, 3).Draw(t, "steps") {
		p := sched.Step{
			Tasks:    rapid.IntRange(1, 3).Draw(t, "tasks"),
			Need:     cores(1),
			Estimate: drawDuration(t, 300*time.Millisecond, 3, "estimate"),
			Gang:     rapid.Bool().Draw(t, "gang"),
			Lasting:  rapid.IntRange(0, 7).Draw(t, "lasting") == 0,
		}
		if k > 0 && rapid.Bool().Draw(t, "depends") {
			p.After = []int{rapid.IntRange(0, k-1).Draw(t, "after")}
		}
		j.Steps = append(j.Steps, p)
	}
	if rapid.IntRange(0, 3).Draw(t, "timed") == 0 {
		j.Rounds = 2
		j.FirstRound = wall.Add(-drawDuration(t, 700*time.Millisecond, 6, "due"))
		j.Interval = 900 * time.Millisecond
	}
	return j
}

// Stages are placed in the order of their class, the priority of their queue and their
// slack, those of equal rank as they were opened.
func TestStagesArePlacedByRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// The first pass is long before the others, so that cached estimates expire.
		first := time.Unix(1000, 0)
		now := first.Add(drawDuration(t, 300*time.Millisecond, 2, "pause"))
		ahead := drawDuration(t, 250*time.Millisecond, 2, "ahead")
		m := rankModel{
			wall:      now.Add(-ahead),
			queues:    map[sched.QueueID]sched.Queue{},
			overShare: map[spoolsill.JobID]bool{},
		}
		s := sched.New(sched.Config{
			Lease:      lease,
			StartLease: 3 * time.Second,
			TakenOver:  first,
			Ahead:      ahead,
		})
		queues := []sched.Queue{
			{ID: "urgent", Service: "work", Stretch: 1.5, Goal: 250 * time.Millisecond},
			{ID: "normal", Service: "work", Priority: 1, Stretch: 2, Goal: time.Second},
			{ID: "slow", Service: "work", Priority: 2, Stretch: 4, Goal: 2 * time.Second},
			{ID: "elsewhere", Service: "other", Stretch: 1, Goal: 50 * time.Second},
		}
		// The configuration in force during the first pass is another one.
		s.SetQueues([]sched.Queue{
			{ID: "urgent", Service: "work", Priority: 2, Stretch: 9},
			{ID: "normal", Service: "work", Stretch: 1},
		})
		for _, q := range queues {
			m.queues[q.ID] = q
		}
		// Work of another team, which no worker here can run and which can't be in time, leaves next to
		// nothing of the cell to the team of this test.
		s.SetTeams(first, []sched.Team{
			{ID: "busy", Weight: 1},
			{ID: "rest", Weight: 1e9},
		})
		for i := range 2 {
			s.AddJob(first, sched.Job{
				ID:       spoolsill.JobID(fmt.Sprintf("rest%d", i)),
				Queue:    "elsewhere",
				Team:     "rest",
				Received: m.wall.Add(-time.Duration(i) * time.Minute),
				Steps: []sched.Step{
					{
						Tasks:    1000,
						Need:     cores(10),
						Estimate: time.Hour,
					},
				},
			}, sched.Progress{})
		}
		jobs := map[spoolsill.JobID]sched.Job{}
		var once, due, dueLater []sched.StageID
		for i := range rapid.IntRange(1, 40).Draw(t, "jobs") {
			j := drawRankedJob(t, i, m.wall)
			jobs[j.ID] = j
			s.AddJob(first, j, sched.Progress{})
			for round := range max(j.Rounds, 1) {
				for k, p := range j.Steps {
					id := sched.StageID{
						Job:   j.ID,
						Round: round,
						Step:  k,
					}
					at := j.FirstRound.Add(time.Duration(round) * j.Interval)
					switch {
					case len(p.After) > 0 || j.Queue == "unnamed":
					case j.Rounds == 0:
						once = append(once, id)
					case !at.After(first.Add(-ahead)):
						due = append(due, id)
					case !at.After(m.wall):
						dueLater = append(dueLater, id)
					}
				}
			}
		}
		// Nothing can be placed without workers, and cancelled jobs leave the backlog.
		s.Decide(first)
		s.SetQueues(queues)
		for i := range len(jobs) {
			id := spoolsill.JobID(fmt.Sprintf("j%d", i))
			if rapid.IntRange(0, 4).Draw(t, "cancel") == 0 {
				s.CancelJob(now, id)
				delete(jobs, id)
			}
		}
		s.Decide(now)
		s.WorkerListed(now, sched.Worker{
			ID:       "w",
			Service:  "work",
			Address:  "w",
			Capacity: cores(1000),
		})
		s.LeaseRequested(incarnationOf("w"), sched.LeaseEnd(now, lease))
		s.Heartbeat(now, sched.Heartbeat{
			WorkerIncarnation: incarnationOf("w"),
			Sent:              now,
		})
		s.Notes()
		s.Decide(now)

		m.setOverShare(jobs)
		want := slices.DeleteFunc(slices.Concat(once, due, dueLater), func(id sched.StageID) bool {
			_, ok := jobs[id.Job]
			return !ok
		})
		slices.SortStableFunc(want, func(a, b sched.StageID) int {
			return slices.Compare(m.key(jobs[a.Job], a), m.key(jobs[b.Job], b))
		})
		if got := placedStages(s.Notes()); !slices.Equal(got, want) {
			t.Fatalf("placed %v, want %v", got, want)
		}
		if err := s.CheckCapacity(); err != nil {
			t.Fatal(err)
		}
	})
}
