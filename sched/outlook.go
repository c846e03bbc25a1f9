package sched

import (
	"slices"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/forecast"
	"github.com/spoolsill/spoolsill/internal/saturate"
)

// outlookTTL is how long an outlook is cached. It is far shorter than the tasks whose end it
// forecasts.
const outlookTTL = 100 * time.Millisecond

// Outlook returns the forecast for the accepted work that ends by itself. Jobs of queues that
// no configuration has named yet and timed rounds that are not due are left out. The
// workers of all services count as one supply.
// Cost: O(workers + open stages + tasks of open stages), at most once in outlookTTL.
func (s *State) Outlook(now time.Time) forecast.Outlook {
	s.now = now
	if s.outlookAt.IsZero() || now.Sub(s.outlookAt) >= outlookTTL {
		s.outlook = forecast.NewOutlook(s.supply(), s.describeAccepted())
		s.outlookAt = now
		s.overloaded = overloadedGroups(s.outlook, s.overloaded)
	}
	return s.outlook
}

// overloadedGroups returns the groups that are overloaded, given those that were. An overload is
// over once no job is late that still earns something: until then such jobs wait for what the others
// leave, and would take it from those that have begun. Since a job that can't end earns nothing
// after some time, it does not make an overload last.
func overloadedGroups(o forecast.Outlook, were map[forecast.Group]bool) map[forecast.Group]bool {
	are := map[forecast.Group]bool{}
	for g, l := range o.Groups() {
		if l.Strain > 1 || were[g] && l.Late > 0 {
			are[g] = true
		}
	}
	return are
}

// orderKey returns the position of g among the stages of its tier and priority while not all of
// their jobs can be in time, and 0 if they can. Lasting stages go first.
func (s *State) orderKey(g *stage, q *Queue) float64 {
	if len(s.overloaded) == 0 || g.step.Lasting {
		return 0
	}
	group := forecast.Group{
		OverShare: g.job.overShare,
		Priority:  q.Priority,
	}
	if !s.overloaded[group] {
		return 0
	}
	if g.keyAt != s.outlookAt {
		g.keyAt = s.outlookAt
		g.key = s.describe(g, q).Key(s.outlook.Supply())
	}
	return g.key
}

// sizeBlindEvery is one job in how many is ranked regardless of its size under overload, so that
// large jobs don't wait as long as smaller ones keep coming. Each of the large ones puts several
// small ones behind it.
const sizeBlindEvery = 4

// sizeBlind reports whether j is one of those. It depends on nothing but the job's row, so that
// the next leader ranks the job alike.
func (j *Job) sizeBlind() bool {
	return j.Received.UnixMilli()%sizeBlindEvery == 0
}

// Describe returns the forecast's view of a job that has not been accepted, or of the first
// round of a timed one, whose time until it is due counts as time left.
func (s *State) Describe(j Job) forecast.Job {
	if len(j.Steps) == 0 {
		return forecast.Job{}
	}
	x := &job{
		Job: j,
	}
	q := s.queue(x)
	paths := s.criticalPathsOf(x, q)
	f := forecast.Job{
		Priority:  q.Priority,
		SizeBlind: j.sizeBlind(),
		Due:       q.objective(paths),
	}
	since := j.Received
	if j.Rounds > 0 {
		since = j.FirstRound
	}
	if !since.IsZero() {
		f.Due -= s.wallClock().Sub(since)
	}
	for i := range j.Steps {
		p := &j.Steps[i]
		if p.Lasting {
			continue
		}
		f.Left = f.Left.Add(s.costOf(q, p))
		f.Chain = max(f.Chain, paths[i])
	}
	f.Whole = f.Left
	return f
}

// supply returns what the cell has for work that ends: lasting tasks keep what they have, and
// what they wait for within the quota of their team is theirs next.
func (s *State) supply() forecast.Supply {
	f := forecast.Supply{
		Queries: max(s.advisorSlots, 1),
	}
	for _, w := range s.workerList {
		if w.ready {
			f.Processors += w.Capacity.Processors
		}
	}
	if f.Processors == 0 {
		return forecast.Supply{}
	}
	largest := s.largestCapacities()
	for _, g := range s.openStages {
		if !g.step.Lasting || g.job.state.Final() {
			continue
		}
		n := len(g.tasks)
		if !g.job.team.allows(g.step.demand()) || largest.tooSmallFor(g, s.queue(g.job)) {
			n -= g.waiting
		}
		f.Processors -= g.step.demand().Times(n).Processors
	}
	f.Processors = max(f.Processors, spoolsill.Core)
	return f
}

// describeAccepted returns the unfinished jobs, and each unfinished round of timed jobs that is due.
// Those whose tasks no worker can hold are left out: others don't wait for them.
func (s *State) describeAccepted() []forecast.Job {
	jobs := make([]forecast.Job, 0, len(s.openStages))
	largest := s.largestCapacities()
	for _, g := range s.openStages {
		q := s.queue(g.job)
		if q.Service == "" || g.job.state.Final() || g != g.firstLeft() || largest.tooSmallFor(g, q) {
			continue
		}
		if f := s.describe(g, q); f.Left != (forecast.Cost{}) {
			jobs = append(jobs, f)
		}
	}
	return jobs
}

// round returns the stages of the round that g belongs to.
func (g *stage) round() []*stage {
	n := len(g.job.Steps)
	return g.job.stages[g.id.Round*n : (g.id.Round+1)*n]
}

// firstLeft returns the first stage of the round that is not done and ends by itself, or nil
// if there is none. Since dependencies are earlier steps, it is open unless it depends on a
// lasting step.
func (g *stage) firstLeft() *stage {
	i := slices.IndexFunc(g.round(), func(o *stage) bool { return !o.done() && !o.step.Lasting })
	if i < 0 {
		return nil
	}
	return g.round()[i]
}

// describe returns the forecast's view of the round of g.
func (s *State) describe(g *stage, q *Queue) forecast.Job {
	paths := s.criticalPathsOf(g.job, q)
	since := g.job.Received
	if !g.due.IsZero() {
		since = g.due
	}
	f := forecast.Job{
		Priority:  q.Priority,
		OverShare: g.job.overShare,
		SizeBlind: g.job.sizeBlind(),
		Due:       q.objective(paths) - s.wallClock().Sub(since),
	}
	for _, o := range g.round() {
		if o.step.Lasting {
			continue
		}
		f.Whole = f.Whole.Add(s.costOf(q, o.step))
		if o.done() {
			continue
		}
		left, longest := s.left(o, q)
		f.Left = f.Left.Add(left)
		f.Chain = max(f.Chain, paths[o.id.Step]-s.expected(q, o.step)+longest)
	}
	f.Worthless = f.Chain-f.Due > (lateFactor-1)*q.objective(paths)
	return f
}

// costOf returns the cost of all tasks of a step of which none has started.
func (s *State) costOf(q *Queue, p *Step) forecast.Cost {
	c := forecast.Cost{
		Processor: forecast.ProcessorTime(p.Tasks, p.demand().Processors, max(s.expected(q, p), 0)),
	}
	if p.Tasks > 0 {
		c.Advice = s.adviceCost(q)
	}
	return c
}

// left returns the cost of what is left of a stage, and the longest expected time of one of its
// tasks. Tasks that have a run need no more answers of the advisor.
func (s *State) left(g *stage, q *Queue) (c forecast.Cost, longest time.Duration) {
	p := g.step
	e := max(s.expected(q, p), 0)
	if g.tasks == nil {
		return s.costOf(q, p), e
	}
	c.Advice = s.adviceCost(q) * time.Duration(g.waiting) / time.Duration(max(len(g.tasks), 1))
	var total time.Duration
	for _, t := range g.tasks {
		if t.done {
			continue
		}
		d := e
		if t.run != nil && !t.run.stopping {
			d = s.remaining(t.run)
		}
		total = saturate.Add(total, d)
		longest = max(longest, d)
	}
	c.Processor = forecast.ProcessorTime(1, p.demand().Processors, total)
	return c, longest
}
