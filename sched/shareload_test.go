package sched_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// A teamLoad is what one team hands in.
type teamLoad struct {
	team spoolsill.TeamID
	// small and wide are jobs a second.
	small, wide float64
	// hot is the factor of wide from hotFrom to hotUntil.
	hot float64
}

const (
	hotFrom  = 5 * time.Second
	hotUntil = 13 * time.Second
	loadEnd  = 22 * time.Second
	loadStep = 20 * time.Millisecond
)

// A teamReplay replays the loads of teams in a cell of 1,000 cores.
type teamReplay struct {
	*cell
	random  *rand.Rand
	start   time.Time
	running map[spoolsill.WorkerID][]sched.RunID
	begun   map[sched.RunID]time.Time
	ends    map[sched.RunID]time.Time
	orders  map[sched.RunID]sched.StartOrder
	teams   map[spoolsill.JobID]spoolsill.TeamID
	work    map[spoolsill.JobID]float64 // in core seconds
	inTime  map[spoolsill.JobID]bool
	ended   map[spoolsill.JobID]bool
	// streams has for each stream of jobs how much of the time to its next job is left.
	streams map[spoolsill.TeamID]float64
	next    int
	workers []spoolsill.WorkerID
}

func newTeamReplay(t *testing.T, seed uint64, loads []teamLoad) *teamReplay {
	x := &teamReplay{
		cell:    newCell(t),
		random:  rand.New(rand.NewPCG(seed, 0)),
		running: map[spoolsill.WorkerID][]sched.RunID{},
		begun:   map[sched.RunID]time.Time{},
		ends:    map[sched.RunID]time.Time{},
		orders:  map[sched.RunID]sched.StartOrder{},
		teams:   map[spoolsill.JobID]spoolsill.TeamID{},
		work:    map[spoolsill.JobID]float64{},
		inTime:  map[spoolsill.JobID]bool{},
		ended:   map[spoolsill.JobID]bool{},
		streams: map[spoolsill.TeamID]float64{},
	}
	x.start = x.now
	x.configure(x.state)
	x.setWeights(loads)
	for i := range 100 {
		id := spoolsill.WorkerID(fmt.Sprintf("w%d", i))
		x.workers = append(x.workers, id)
		x.addWorker(id)
	}
	return x
}

func (x *teamReplay) configure(s *sched.State) {
	s.SetQueues([]sched.Queue{
		{
			ID:          "small",
			Service:     "work",
			MaxAttempts: 2,
			Stretch:     1.5,
			Goal:        250 * time.Millisecond,
		},
		{
			ID:          "wide",
			Service:     "work",
			Priority:    2,
			MaxAttempts: 2,
			Stretch:     2.2,
			Goal:        1200 * time.Millisecond,
		},
	})
}

// setWeights gives each team a weight of twice the jobs that it usually hands in.
func (x *teamReplay) setWeights(loads []teamLoad) {
	var teams []sched.Team
	for _, l := range loads {
		teams = append(teams, sched.Team{
			ID:     l.team,
			Weight: 2 * (l.small + l.wide),
		})
	}
	x.state.SetTeams(x.now, teams)
}

// submit adds a job.
func (x *teamReplay) submit(team spoolsill.TeamID, q sched.QueueID, p sched.Step) {
	x.next++
	j := job(spoolsill.JobID(fmt.Sprintf("j%d", x.next)), q, p)
	j.Team = team
	j.Received = x.now
	x.teams[j.ID] = team
	x.work[j.ID] = float64(p.Tasks) * float64(p.Need.Processors/spoolsill.Core) * p.Estimate.Seconds()
	x.state.AddJob(x.now, j, sched.Progress{})
}

// submitLoads adds the jobs of one step.
func (x *teamReplay) submitLoads(loads []teamLoad) {
	at := x.now.Sub(x.start)
	for _, l := range loads {
		if x.due(l.team+"/small", l.small) {
			p := tasks(5, 2)
			p.Estimate = 600 * time.Millisecond
			x.submit(l.team, "small", p)
		}
		wide := l.wide
		if l.hot > 0 && at >= hotFrom && at < hotUntil {
			wide *= l.hot
		}
		if x.due(l.team+"/wide", wide) {
			p := tasks(34, 2)
			p.Estimate = 4 * time.Second
			x.submit(l.team, "wide", p)
		}
	}
}

// due reports whether the next job of a stream with some jobs a second is due. The times between jobs
// vary by half.
func (x *teamReplay) due(stream spoolsill.TeamID, perSecond float64) bool {
	left, ok := x.streams[stream]
	if !ok {
		left = x.random.Float64()
	}
	left -= perSecond * loadStep.Seconds()
	due := left <= 0
	if due {
		left += 0.75 + x.random.Float64()/2
	}
	x.streams[stream] = left
	return due
}

// renew renews a worker's lease; the worker answers with its running tasks and their progress.
func (x *teamReplay) renew(w spoolsill.WorkerID) {
	x.state.LeaseRequested(incarnationOf(w), sched.LeaseEnd(x.now, lease))
	h := sched.Heartbeat{
		WorkerIncarnation: incarnationOf(w),
		Sent:              x.now,
		Clock:             sched.ClockMillis(x.now.UnixMilli()),
	}
	for _, r := range x.running[w] {
		begun := x.begun[r]
		h.Running = append(h.Running, sched.RunningTask{
			Run:     r,
			Percent: int(100 * x.now.Sub(begun) / x.ends[r].Sub(begun)),
		})
	}
	x.state.Heartbeat(x.now, h)
}

// replayStep ends runs, makes a pass and starts runs, which take between three and five quarters
// of their estimate.
func (x *teamReplay) replayStep() {
	x.now = x.now.Add(loadStep)
	var over []sched.RunID
	for id, at := range x.ends {
		if !at.After(x.now) {
			over = append(over, id)
		}
	}
	slices.SortFunc(over, func(a, b sched.RunID) int {
		return cmp.Or(x.ends[a].Compare(x.ends[b]), cmp.Compare(a.Task.String(), b.Task.String()))
	})
	for _, id := range over {
		o := x.orders[id]
		x.running[o.Worker] = slices.DeleteFunc(x.running[o.Worker], func(r sched.RunID) bool { return r == id })
		delete(x.ends, id)
		x.endRun(o, sched.EndDone)
	}
	if x.now.UnixMilli()%200 == 0 {
		for _, w := range x.workers {
			x.listWorker(w, false)
			x.renew(w)
		}
	}
	x.state.Decide(x.now)
	b, ok, err := x.state.Batch(x.now)
	x.c.Assert(err, qt.IsNil)
	if ok {
		for _, o := range x.state.BatchWritten(x.now, b) {
			x.answerStart(o, sched.StartAccepted)
			x.running[o.Worker] = append(x.running[o.Worker], o.Run)
			x.orders[o.Run] = o
			d := 600 * time.Millisecond
			if x.work[o.Run.Task.Stage.Job] > 100 {
				d = 4 * time.Second
			}
			x.begun[o.Run] = x.now
			x.ends[o.Run] = x.now.Add(time.Duration((0.75 + x.random.Float64()/2) * float64(d)))
		}
	}
	for _, n := range x.state.Notes() {
		if n.Kind == sched.NoteJobEnded {
			x.ended[n.Job] = true
			x.inTime[n.Job] = n.Account.Objective > 0 && n.Age <= n.Account.Objective
		}
	}
}

// run replays the loads and returns for each team which share of its work met its objective.
func (x *teamReplay) run(loads []teamLoad, from, until time.Duration) {
	for x.now.Sub(x.start) < until {
		if x.now.Sub(x.start) >= from && x.now.Sub(x.start) < loadEnd {
			x.submitLoads(loads)
		}
		x.replayStep()
	}
}

// served returns for each team which share of its work met its objective.
func (x *teamReplay) served() map[spoolsill.TeamID]float64 {
	done, all := map[spoolsill.TeamID]float64{}, map[spoolsill.TeamID]float64{}
	for id, w := range x.work {
		all[x.teams[id]] += w
		if x.inTime[id] {
			done[x.teams[id]] += w
		}
	}
	var total, of float64
	for t := range all {
		total += done[t]
		of += all[t]
	}
	for t := range all {
		done[t] /= all[t]
	}
	done["all"] = total / of
	return done
}

// worst returns the least served team but the hot one.
func worst(served map[spoolsill.TeamID]float64) (spoolsill.TeamID, float64) {
	var team spoolsill.TeamID
	least := 2.0
	for t, s := range served {
		if t != "hot" && t != "all" && s < least {
			team, least = t, s
		}
	}
	return team, least
}

// unevenLoads is the load of nine usual teams and a large one that for eight seconds hands in
// six times as many wide jobs as usual. The cell of 1,000 cores has usually two thirds used, then
// has to do 1.3 times what it can.
func unevenLoads() []teamLoad {
	loads := []teamLoad{
		{
			team:  "hot",
			small: 6,
			wide:  0.9,
			hot:   6,
		},
	}
	for i := range 9 {
		loads = append(loads, teamLoad{
			team:  spoolsill.TeamID(fmt.Sprintf("usual%d", i)),
			small: 2,
			wide:  0.13,
		})
	}
	return loads
}

// A full cell in which one team hands in many times its usual work, in few wide jobs: the work of the
// other teams, wide and small, is in time as it usually is.
func TestHotTeamWithWideJobsLeavesOthersInTime(t *testing.T) {
	const seeds = 10
	sum := 0.0
	for seed := range uint64(seeds) {
		loads := unevenLoads()
		x := newTeamReplay(t, seed, loads)
		x.run(loads, 0, 40*time.Second)
		served := x.served()
		team, least := worst(served)
		t.Logf("seed %d: hot team %.3f, least served other team %s %.3f, all %.3f", seed, served["hot"], team, least, served["all"])
		sum += least
	}
	qt.Check(t, sum/seeds > 0.95, qt.IsTrue, qt.Commentf("mean share of work in time of the least served other team: %.3f", sum/seeds))
}
