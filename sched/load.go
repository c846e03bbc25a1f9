package sched

import (
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/advisor"
)

// A Load describes the utilization of the cell for operators.
type Load struct {
	// Workers counts the workers that are not known to be dead, Ready those of them that
	// accept new tasks.
	Workers int
	Ready   int
	// Avoided counts the workers that get no new tasks because of failures.
	Avoided int
	// Capacity and Used are the sums over the ready workers.
	Capacity spoolsill.Resources
	Used     spoolsill.Resources
	// Runs counts all runs, Doubtful those that may or may not be at their worker.
	Runs     int
	Doubtful int
	// Stages counts the open stages with tasks to place, Late those of them that can't
	// meet their objective any more.
	Stages int
	Late   int
	// WaitAdvice counts the stages that wait for an answer of the advisor, Unasked those of
	// them without an answer or a query in flight, WaitRoom those that wait for capacity and
	// WaitQuota those that wait for their team's quota.
	WaitAdvice int
	Unasked    int
	WaitRoom   int
	WaitQuota  int
	// Unseatable counts the gangs among the stages that would not fit on the workers that
	// they may use even once all runs there have ended that don't last.
	Unseatable int
	// Reserved counts the workers that are reserved for stages that wait for capacity.
	Reserved int
	// Asking counts the advisor queries in flight.
	Asking int
	// MaxAsking is how many advisor queries the hosts can make concurrently.
	MaxAsking int
	// AdviceShort is set while the advisor's time is short. NoPlace then counts the stages that
	// are not asked about since the hosts have enough queries, NoRoom those that are not since
	// too few workers have room for an answer to be worth its time.
	AdviceShort bool
	NoPlace     int
	NoRoom      int
	// Suspects counts the tasks that were on workers when these were lost and have not
	// been cleared since, Crashed the machines whose workers crashed in the last minute.
	Suspects int
	Crashed  int
	Overload
}

// An Overload compares the accepted work with what the cell can do in time.
type Overload struct {
	// Backlog is how long the cell takes for the accepted work that ends by itself.
	Backlog time.Duration
	// Strain is the highest of [forecast.GroupLoad]: above 1 not all jobs can be in time.
	Strain float64
	// Groups counts the groups of jobs whose order is by what is left of them instead of by
	// slack.
	Groups int
	// ForecastError is the mean difference between the times that jobs were expected to take
	// when they were accepted and those that they took.
	ForecastError time.Duration
}

// Overload returns the load as of the last pass.
func (s *State) Overload() Overload {
	o := Overload{
		Backlog:       s.outlook.Backlog(),
		Groups:        len(s.overloaded),
		ForecastError: s.forecastError,
	}
	for _, g := range s.outlook.Groups() {
		o.Strain = max(o.Strain, g.Strain)
	}
	return o
}

// Load returns the utilization of the cell. Cost: O(workers + runs + stages).
func (s *State) Load() Load {
	var l Load
	for _, w := range s.workerList {
		if w.dead {
			continue
		}
		l.Workers++
		l.Runs += len(w.runs)
		l.Doubtful += w.uncertainRuns()
		if w.avoided {
			l.Avoided++
		}
		if !w.ready {
			continue
		}
		l.Ready++
		l.Capacity = l.Capacity.Add(w.Capacity)
		l.Used = l.Used.Add(w.used)
	}
	for _, g := range s.openStages {
		if !g.placeable() || g.job.state.Final() {
			continue
		}
		l.Stages++
		l.countWait(g)
		l.Reserved += len(g.reserved)
		if s.rank(g).tier >= tierLate {
			l.Late++
		}
		if g.step.Gang && s.hasAdvice(g) && !s.seatable(g, s.usableWorkers(g)) {
			l.Unseatable++
		}
	}
	l.Asking = s.queriesInFlight
	l.MaxAsking = s.advisorSlots
	l.AdviceShort = s.advisorTime.meter.Short()
	l.NoPlace = s.advisorTime.refused[advisor.NoPlace]
	l.NoRoom = s.advisorTime.refused[advisor.NoRoom]
	l.Suspects, l.Crashed = s.Suspects()
	l.Overload = s.Overload()
	return l
}

// Backlog returns the demand of the tasks that wait to be placed and that some worker can hold, and
// the free capacity of the ready workers. Cost: O(workers + stages).
func (s *State) Backlog() (waiting, free spoolsill.Resources) {
	largest := s.largestCapacities()
	for _, g := range s.openStages {
		if g.placeable() && !g.job.state.Final() && !largest.tooSmallFor(g, s.queue(g.job)) {
			waiting = waiting.Add(g.step.demand().Times(g.waiting))
		}
	}
	for _, w := range s.workerList {
		if w.ready {
			free = free.Add(w.free())
		}
	}
	return waiting, free
}

// countWait adds the stage g, which waits, by what it waits for.
func (l *Load) countWait(g *stage) {
	switch g.waitingFor {
	case waitAdvice:
		l.WaitAdvice++
		if g.advice.asked == nil && g.advice.learnQueriesInFlight == 0 {
			l.Unasked++
		}
	case waitCapacity:
		l.WaitRoom++
	case waitQuota:
		l.WaitQuota++
	default:
	}
}

// Suspects counts the tasks that were on workers when these were lost and have not been
// cleared since, and the machines whose workers crashed in the last minute.
func (s *State) Suspects() (tasks, crashed int) {
	return len(s.suspects), len(s.crashedAt)
}
