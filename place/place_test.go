package place_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/place"
)

var start = time.UnixMicro(1_000_000_000)

// newHall returns a state with n workers of 8 cores and 16 GiB, two to a rack.
func newHall(c place.Config, n int) *place.State {
	s := place.NewState(c)
	var list []spoolsill.Worker
	for i := range n {
		list = append(list, spoolsill.Worker{
			ID:   spoolsill.WorkerID(fmt.Sprintf("w%d", i)),
			Rack: spoolsill.RackID(fmt.Sprintf("r%d", i/2)),
			Capacity: spoolsill.Resources{
				Processors: 8 * spoolsill.Core,
				Memory:     16 * spoolsill.GiB,
			},
		})
	}
	s.SetWorkers(list)
	return s
}

// job returns a batch job of one-GiB tasks.
func job(id string, tasks, cores int) spoolsill.Job {
	return spoolsill.Job{
		ID:    spoolsill.JobID(id),
		Team:  "team",
		Kind:  spoolsill.Batch,
		Class: spoolsill.Normal,
		Tasks: tasks,
		Shape: spoolsill.Resources{
			Processors: spoolsill.Millicores(cores) * spoolsill.Core,
			Memory:     spoolsill.GiB,
		},
		Runtime: 10 * time.Second,
	}
}

func add(c *qt.C, s *place.State, at time.Time, j spoolsill.Job) {
	c.Assert(s.Apply(place.Record{
		Kind: place.JobAdded,
		At:   at.UnixMicro(),
		Job:  &j,
	}), qt.IsNil)
}

// decide returns the records of kind k that Decide gives.
func decide(c *qt.C, s *place.State, at time.Time, k place.RecordKind) []place.Record {
	records, _ := s.Decide(at)
	c.Assert(s.Check(), qt.IsNil)
	var out []place.Record
	for _, r := range records {
		if r.Kind == k {
			out = append(out, r)
		}
	}
	return out
}

// run confirms the starts in records.
func run(s *place.State, at time.Time, records []place.Record) {
	for _, r := range records {
		s.Report(at, place.Report{
			Task:    r.Task,
			Attempt: r.Attempt,
			Fate:    place.Started,
		})
	}
}

func end(s *place.State, at time.Time, r place.Record, f place.Fate) {
	s.Report(at, place.Report{
		Task:    r.Task,
		Attempt: r.Attempt,
		Fate:    f,
	})
}

func TestServiceSpreadsOverRacks(t *testing.T) {
	c := qt.New(t)
	s := newHall(place.Config{}, 6)
	j := job("web", 3, 1)
	j.Kind = spoolsill.Service
	add(c, s, start, j)
	racks := map[byte]bool{}
	for _, r := range decide(c, s, start, place.TaskPlaced) {
		racks[(r.Worker[1]-'0')/2] = true
	}
	c.Assert(racks, qt.HasLen, 3)
}

func TestBatchLeavesRoomForLargeShapes(t *testing.T) {
	c := qt.New(t)
	s := newHall(place.Config{}, 2)
	add(c, s, start, job("small", 4, 2))
	decide(c, s, start, place.TaskPlaced)
	add(c, s, start, job("large", 1, 8))
	c.Assert(decide(c, s, start, place.TaskPlaced), qt.HasLen, 1)
}

func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	c := qt.New(t)
	s := newHall(place.Config{}, 2)
	add(c, s, start, job("first", 1, 4))
	decide(c, s, start, place.TaskPlaced)
	g := job("gang", 2, 8)
	g.Kind = spoolsill.Gang
	add(c, s, start, g)
	c.Assert(decide(c, s, start, place.TaskPlaced), qt.HasLen, 0)
	v, _, _ := s.Job("gang")
	c.Assert(v.Reason, qt.Contains, "not all 2 tasks fit at once")
}

// TestGangIsNotStarved keeps small work coming, which would take every free
// core before the gang finds enough at once.
func TestGangIsNotStarved(t *testing.T) {
	for _, off := range []bool{false, true} {
		t.Run(fmt.Sprintf("reservation off=%t", off), func(t *testing.T) {
			c := qt.New(t)
			s := newHall(place.Config{
				NoReservation: off,
				GangPatience:  -1,
			}, 2)
			add(c, s, start, job("first", 4, 4))
			running := decide(c, s, start, place.TaskPlaced)
			run(s, start, running)
			g := job("gang", 2, 8)
			g.Kind = spoolsill.Gang
			add(c, s, start, g)
			started := false
			now := start
			for i := 0; i < 40 && !started; i++ {
				add(c, s, now, job(fmt.Sprintf("small%d", i), 2, 4))
				placed := decide(c, s, now, place.TaskPlaced)
				for _, r := range placed {
					started = started || r.Task.Job == "gang"
				}
				run(s, now, placed)
				running = append(running, placed...)
				now = now.Add(5 * time.Second)
				for range min(2, len(running)) {
					end(s, now, running[0], place.Exited)
					running = running[1:]
				}
			}
			c.Assert(started, qt.Equals, !off)
		})
	}
}

// TestAGangThatWaitedMakesRoom has patient work checkpointed for a normal gang
// only after its patience, and then for all its tasks at once.
func TestAGangThatWaitedMakesRoom(t *testing.T) {
	c := qt.New(t)
	s := newHall(place.Config{}, 2)
	p := job("patient", 4, 4)
	p.Class = spoolsill.Patient
	add(c, s, start, p)
	run(s, start, decide(c, s, start, place.TaskPlaced))
	g := job("gang", 2, 8)
	g.Kind = spoolsill.Gang
	add(c, s, start, g)
	c.Assert(decide(c, s, start, place.TaskCheckpointing), qt.HasLen, 0)
	now := start.Add(place.DefaultGangPatience)
	out := decide(c, s, now, place.TaskCheckpointing)
	c.Assert(out, qt.HasLen, 4)
	for _, r := range out {
		end(s, now, r, place.Checkpointed)
	}
	placed := decide(c, s, now, place.TaskPlaced)
	c.Assert(placed, qt.HasLen, 2)
	c.Assert(placed[0].Task.Job, qt.Equals, spoolsill.JobID("gang"))
}

func TestUrgentWorkPreemptsTheLeastWorth(t *testing.T) {
	c := qt.New(t)
	s := newHall(place.Config{}, 2)
	for i, worth := range []int{5, 1} {
		j := job(fmt.Sprintf("patient%d", i), 1, 8)
		j.Class = spoolsill.Patient
		j.Worth = worth
		add(c, s, start, j)
	}
	run(s, start, decide(c, s, start, place.TaskPlaced))
	u := job("urgent", 1, 4)
	u.Class = spoolsill.Urgent
	add(c, s, start, u)
	out := decide(c, s, start, place.TaskCheckpointing)
	c.Assert(out, qt.HasLen, 1)
	c.Assert(out[0].Task.Job, qt.Equals, spoolsill.JobID("patient1"))
	end(s, start, out[0], place.Checkpointed)
	placed := decide(c, s, start, place.TaskPlaced)
	c.Assert(placed[0].Task.Job, qt.Equals, spoolsill.JobID("urgent"))
}

func TestUnrepeatableWorkIsNeverPreempted(t *testing.T) {
	c := qt.New(t)
	s := newHall(place.Config{}, 1)
	j := job("patient", 1, 8)
	j.Class = spoolsill.Patient
	j.Unrepeatable = true
	add(c, s, start, j)
	run(s, start, decide(c, s, start, place.TaskPlaced))
	u := job("urgent", 1, 4)
	u.Class = spoolsill.Urgent
	add(c, s, start, u)
	c.Assert(decide(c, s, start, place.TaskCheckpointing), qt.HasLen, 0)
}

// TestRoomMadeIsKept lets another job ask for the room that is being made.
func TestRoomMadeIsKept(t *testing.T) {
	c := qt.New(t)
	s := newHall(place.Config{}, 1)
	j := job("patient", 1, 8)
	j.Class = spoolsill.Patient
	add(c, s, start, j)
	run(s, start, decide(c, s, start, place.TaskPlaced))
	u := job("urgent", 1, 8)
	u.Class = spoolsill.Urgent
	add(c, s, start, u)
	out := decide(c, s, start, place.TaskCheckpointing)
	add(c, s, start, job("thief", 1, 8))
	end(s, start, out[0], place.Checkpointed)
	placed := decide(c, s, start, place.TaskPlaced)
	c.Assert(placed, qt.HasLen, 1)
	c.Assert(placed[0].Task.Job, qt.Equals, spoolsill.JobID("urgent"))
}

func TestQuotaHoldsAndIdleQuotaIsLentAndRecalled(t *testing.T) {
	c := qt.New(t)
	s := newHall(place.Config{}, 2)
	limit := spoolsill.Resources{
		Processors: 8 * spoolsill.Core,
		Memory:     8 * spoolsill.GiB,
	}
	s.SetQuotas([]place.Quota{
		{
			Team:    "team",
			Limit:   limit,
			Limited: true,
		},
		{
			Team:    "other",
			Limit:   limit,
			Limited: true,
		},
	})
	add(c, s, start, job("normal", 3, 4))
	c.Assert(decide(c, s, start, place.TaskPlaced), qt.HasLen, 2)
	v, _, _ := s.Job("normal")
	c.Assert(v.Reason, qt.Contains, "quota of team team")
	s.Cancel(start, []spoolsill.JobID{"normal"})

	s = newHall(place.Config{}, 2)
	s.SetQuotas([]place.Quota{{
		Team:    "team",
		Limit:   limit,
		Limited: true,
	}})
	p := job("patient", 4, 4)
	p.Class = spoolsill.Patient
	add(c, s, start, p)
	lent := decide(c, s, start, place.TaskPlaced)
	c.Assert(lent, qt.HasLen, 4)
	run(s, start, lent)
	o := job("owner", 1, 4)
	o.Team = "other"
	add(c, s, start, o)
	c.Assert(decide(c, s, start, place.TaskCheckpointing), qt.HasLen, 1)
}

func TestFloodOfOneTeamDoesNotDelayAnother(t *testing.T) {
	c := qt.New(t)
	s := newHall(place.Config{}, 1)
	for i := range 20 {
		j := job(fmt.Sprintf("flood%d", i), 2, 2)
		j.Class = spoolsill.Urgent
		add(c, s, start, j)
	}
	run(s, start, decide(c, s, start, place.TaskPlaced))
	o := job("other", 1, 2)
	o.Team = "other"
	o.Class = spoolsill.Urgent
	add(c, s, start.Add(time.Millisecond), o)
	_, tasks, _ := s.Job("flood0")
	s.Report(start, place.Report{
		Task:    spoolsill.TaskID{Job: "flood0"},
		Attempt: tasks[0].Attempt,
		Fate:    place.Exited,
	})
	placed := decide(c, s, start.Add(time.Second), place.TaskPlaced)
	c.Assert(placed, qt.HasLen, 1)
	c.Assert(placed[0].Task.Job, qt.Equals, spoolsill.JobID("other"))
}

func TestNeverFitIsSaidAtOnceAndJudgedAgain(t *testing.T) {
	c := qt.New(t)
	s := newHall(place.Config{}, 1)
	add(c, s, start, job("huge", 1, 16))
	add(c, s, start, job("small", 1, 1))
	c.Assert(decide(c, s, start, place.TaskPlaced), qt.HasLen, 1)
	v, tasks, _ := s.Job("huge")
	c.Assert(tasks[0].State, qt.Equals, spoolsill.TaskNever)
	c.Assert(v.Reason, qt.Matches, `can never run: a task needs 16 cores.*nearest worker, w0.*too few processors.*`)
	s.SetWorkers([]spoolsill.Worker{{
		ID: "big",
		Capacity: spoolsill.Resources{
			Processors: 32 * spoolsill.Core,
			Memory:     64 * spoolsill.GiB,
		},
	}})
	c.Assert(decide(c, s, start, place.TaskPlaced), qt.HasLen, 1)
}

// TestBadWorkerIsQuarantined gives many jobs to a hall in which one worker
// fails everything at once, so that it always looks free.
func TestBadWorkerIsQuarantined(t *testing.T) {
	for _, off := range []bool{false, true} {
		t.Run(fmt.Sprintf("quarantine off=%t", off), func(t *testing.T) {
			c := qt.New(t)
			s := newHall(place.Config{
				NoQuarantine: off,
				Tries:        10,
			}, 10)
			failed := 0
			now := start
			for i := range 40 {
				add(c, s, now, job(fmt.Sprintf("job%d", i), 10, 4))
				for _, r := range decide(c, s, now, place.TaskPlaced) {
					if r.Worker == "w0" {
						failed++
						end(s, now, r, place.Failed)
						continue
					}
					run(s, now, []place.Record{r})
					end(s, now, r, place.Exited)
				}
				now = now.Add(100 * time.Millisecond)
			}
			if off {
				c.Assert(failed > 20, qt.IsTrue, qt.Commentf("%d", failed))
				return
			}
			c.Assert(failed <= 4, qt.IsTrue, qt.Commentf("%d", failed))
		})
	}
}

func TestBadJobDoesNotCondemnWorkers(t *testing.T) {
	c := qt.New(t)
	s := newHall(place.Config{
		Tries: 20,
	}, 10)
	add(c, s, start, job("bad", 40, 1))
	now := start
	for range 20 {
		for _, r := range decide(c, s, now, place.TaskPlaced) {
			end(s, now, r, place.Failed)
		}
		now = now.Add(time.Minute)
	}
	for _, w := range s.Workers() {
		c.Assert(w.Quarantined.After(now), qt.IsFalse, qt.Commentf("%s", w.ID))
	}
}

func TestFailedTaskAvoidsWhereItFailedAndHasABudget(t *testing.T) {
	c := qt.New(t)
	s := newHall(place.Config{}, 8)
	add(c, s, start, job("job", 1, 1))
	seen := map[spoolsill.WorkerID]bool{}
	now := start
	for range 10 {
		for _, r := range decide(c, s, now, place.TaskPlaced) {
			c.Assert(seen[r.Worker], qt.IsFalse)
			seen[r.Worker] = true
			end(s, now, r, place.Failed)
		}
		now = now.Add(time.Minute)
	}
	c.Assert(seen, qt.HasLen, place.DefaultTries)
	_, tasks, _ := s.Job("job")
	c.Assert(tasks[0].State, qt.Equals, spoolsill.TaskFailed)
}

func TestUnrepeatableTaskOfALostWorkerIsNotStartedAgain(t *testing.T) {
	c := qt.New(t)
	s := newHall(place.Config{}, 2)
	j := job("once", 1, 1)
	j.Unrepeatable = true
	add(c, s, start, j)
	r := decide(c, s, start, place.TaskPlaced)[0]
	run(s, start, []place.Record{r})
	end(s, start, r, place.Lost)
	c.Assert(decide(c, s, start.Add(time.Hour), place.TaskPlaced), qt.HasLen, 0)
	_, tasks, _ := s.Job("once")
	c.Assert(tasks[0].State, qt.Equals, spoolsill.TaskLost)
}

func TestCancelWaveStopsWhatRunsAndDropsWhatWaits(t *testing.T) {
	c := qt.New(t)
	s := newHall(place.Config{}, 4)
	var ids []spoolsill.JobID
	for i := range 500 {
		j := job(fmt.Sprintf("j%d", i), 4, 4)
		add(c, s, start, j)
		ids = append(ids, j.ID)
	}
	run(s, start, decide(c, s, start, place.TaskPlaced))
	records := s.Cancel(start, ids)
	c.Assert(s.Check(), qt.IsNil)
	stops := 0
	for _, r := range records {
		if r.Kind == place.TaskStopping {
			stops++
			end(s, start, r, place.Stopped)
		}
	}
	c.Assert(stops, qt.Equals, 8)
	c.Assert(decide(c, s, start, place.TaskPlaced), qt.HasLen, 0)
	c.Assert(s.Free(), qt.Equals, s.Total())
}

func TestOversizeTaskIsThrottledThenCheckpointedThenStopped(t *testing.T) {
	c := qt.New(t)
	s := newHall(place.Config{}, 1)
	add(c, s, start, job("greedy", 1, 1))
	r := decide(c, s, start, place.TaskPlaced)[0]
	run(s, start, []place.Record{r})
	used := spoolsill.Resources{
		Processors: 4 * spoolsill.Core,
	}
	var got []place.Measure
	for range 6 {
		m, _ := s.Use(start, r.Task, used)
		got = append(got, m)
	}
	c.Assert(got, qt.DeepEquals, []place.Measure{
		place.MeasureThrottle,
		place.MeasureThrottle,
		place.MeasureCheckpoint,
		place.MeasureCheckpoint,
		place.MeasureCheckpoint,
		place.MeasureStop,
	})
}

func TestPlanChangesNothingAndIsAppliedAsShown(t *testing.T) {
	c := qt.New(t)
	s := newHall(place.Config{}, 2)
	p, err := s.PlanSubmit(start, job("job", 3, 8))
	c.Assert(err, qt.IsNil)
	c.Assert(s.Jobs(), qt.HasLen, 0)
	c.Assert(p.After.Free.Processors, qt.Equals, spoolsill.Millicores(0))
	c.Assert(p.Changes, qt.HasLen, 3)
	c.Assert(p.Changes[2].Verb, qt.Equals, place.VerbQueue)
	records, err := s.Confirm(start, "p1", p)
	c.Assert(err, qt.IsNil)
	c.Assert(records, qt.HasLen, 4)
	again, err := s.Confirm(start, "p1", p)
	c.Assert(err, qt.IsNil)
	c.Assert(again, qt.HasLen, 0)
	c.Assert(s.Check(), qt.IsNil)
}

// TestRacingPlansNeverMix confirms two plans that were made for the same room.
func TestRacingPlansNeverMix(t *testing.T) {
	c := qt.New(t)
	s := newHall(place.Config{}, 1)
	a, err := s.PlanSubmit(start, job("a", 1, 8))
	c.Assert(err, qt.IsNil)
	b, err := s.PlanSubmit(start, job("b", 1, 8))
	c.Assert(err, qt.IsNil)
	_, err = s.Confirm(start, "pa", a)
	c.Assert(err, qt.IsNil)
	_, err = s.Confirm(start, "pb", b)
	var stale *place.StaleError
	c.Assert(errors.As(err, &stale), qt.IsTrue)
	c.Assert(stale.Text, qt.Contains, "w0")
	c.Assert(s.Jobs(), qt.HasLen, 1)
}

// TestCancelPlanIsStaleWhenMoreHasStarted confirms a cancellation that did not
// show a task which would be stopped.
func TestCancelPlanIsStaleWhenMoreHasStarted(t *testing.T) {
	c := qt.New(t)
	s := newHall(place.Config{}, 1)
	add(c, s, start, job("job", 1, 1))
	p, err := s.PlanCancel(start, []spoolsill.JobID{"job"})
	c.Assert(err, qt.IsNil)
	decide(c, s, start, place.TaskPlaced)
	_, err = s.Confirm(start, "p", p)
	c.Assert(err, qt.ErrorMatches, "plan is stale: task job.0 has started since")
}

func TestLearntRunTimesDecideWhatMayBackfill(t *testing.T) {
	c := qt.New(t)
	s := newHall(place.Config{
		GangPatience: -1,
	}, 2)
	// The team's runs take ten times what it declares.
	for i := range 20 {
		j := job(fmt.Sprintf("past%d", i), 1, 1)
		j.Runtime = time.Second
		j.Team = "late"
		add(c, s, start, j)
		r := decide(c, s, start, place.TaskPlaced)[0]
		run(s, start, []place.Record{r})
		end(s, start.Add(10*time.Second), r, place.Exited)
	}
	now := start.Add(time.Minute)
	add(c, s, now, job("first", 1, 8))
	run(s, now, decide(c, s, now, place.TaskPlaced))
	g := job("gang", 2, 8)
	g.Kind = spoolsill.Gang
	add(c, s, now, g)
	decide(c, s, now, place.TaskPlaced)
	now = now.Add(2 * time.Second)
	decide(c, s, now, place.TaskPlaced)
	for _, team := range []spoolsill.TeamID{"late", "team"} {
		j := job("fill-"+string(team), 1, 4)
		j.Team = team
		j.Runtime = 2 * time.Second
		add(c, s, now, j)
	}
	placed := decide(c, s, now, place.TaskPlaced)
	c.Assert(placed, qt.HasLen, 1)
	c.Assert(placed[0].Task.Job, qt.Equals, spoolsill.JobID("fill-team"))
	v, _, _ := s.Job("fill-late")
	c.Assert(strings.Contains(v.Reason, "reserved for a gang"), qt.IsTrue, qt.Commentf("%s", v.Reason))
}
