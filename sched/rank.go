package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/spoolsill/spoolsill/internal/saturate"
)

// A tier classifies stages by the worth that they can still earn.
type tier int

const (
	tierUrgent    tier = iota // highest priority, can meet its objective
	tierOnTime                // can meet its objective
	tierLate                  // can't meet its objective, earns partial worth
	tierOverShare             // would be in a tier above, but exceeds its team's share
	tierWorthless             // earns nothing any more
)

// A rank orders stages by tier, then by the priority of their queue, then by key and slack.
// Those that earn nothing any more are ordered by age alone, so that no queue is always last.
type rank struct {
	tier     tier
	priority int
	key      float64 // 0 while the jobs can all be in time, otherwise that of forecast.Job.Key
	slack    time.Duration
	waited   time.Duration // since the job was submitted or the round was due
}

func (r rank) compare(o rank) int {
	switch {
	case r.tier != o.tier:
		return cmp.Compare(r.tier, o.tier)
	case r.tier == tierWorthless && r.waited != o.waited:
		return cmp.Compare(o.waited, r.waited)
	case r.priority != o.priority:
		return cmp.Compare(r.priority, o.priority)
	default:
		return cmp.Or(cmp.Compare(r.key, o.key), cmp.Compare(r.slack, o.slack))
	}
}

// A rankedStage is an open stage with its rank as of the current pass. It has no pointer, so
// that sorting costs the garbage collector nothing.
type rankedStage struct {
	rank  rank
	index int // in State.openStages
}

// compare orders stages of equal rank as they were opened.
func (r rankedStage) compare(o rankedStage) int {
	if c := r.rank.compare(o.rank); c != 0 {
		return c
	}
	return cmp.Compare(r.index, o.index)
}

// lateFactor is the multiple of its objective up to which a job earns partial worth in the
// platform's accounting.
const lateFactor = 3

// rank returns the rank of g. Its slack is the objective minus the critical path from g on
// and the time since the job was submitted or, for a timed round, due.
func (s *State) rank(g *stage) rank {
	return s.rankAt(g, s.wallClock())
}

func (s *State) rankAt(g *stage, wall time.Time) rank {
	q := s.queue(g.job)
	paths := s.criticalPathsOf(g.job, q)
	objective := q.objective(paths)
	since := g.job.Received
	if !g.due.IsZero() {
		since = g.due
	}
	waited := wall.Sub(since)
	chain := paths[g.id.Step]
	slack := objective - waited - chain
	r := rank{
		tier:     tierOnTime,
		priority: q.Priority,
		slack:    slack,
		waited:   waited,
	}
	switch {
	case g.step.Lasting:
		r.slack = 0
	case waited+chain > lateFactor*objective:
		r.tier = tierWorthless
	case slack < 0:
		r.tier = tierLate
	case q.Priority == 0:
		r.tier = tierUrgent
	}
	r.key = s.orderKey(g, q)
	if g.job.overShare {
		r.tier = max(r.tier, tierOverShare)
	}
	return r
}

// maxObjective bounds the objective of a job, so that a multiple of it does not overflow.
const maxObjective = 10 * 365 * 24 * time.Hour

// objective returns the time within which a round of a job with these critical paths should
// be done.
func (q *Queue) objective(criticalPaths []time.Duration) time.Duration {
	stretched := saturate.FromFloat[time.Duration](q.Stretch * float64(slices.Max(criticalPaths)))
	return min(saturate.Add(stretched, q.Goal), maxObjective)
}

// criticalPathTTL is how long the critical paths of a job are cached. Estimates of run
// times change slowly.
const criticalPathTTL = 500 * time.Millisecond

// criticalPathsOf returns for each step of a job the expected time of the longest
// dependency chain that begins with it. A step depends only on earlier steps.
func (s *State) criticalPathsOf(j *job, q *Queue) []time.Duration {
	if j.criticalPaths != nil && s.now.Sub(j.criticalPathsAt) < criticalPathTTL {
		return j.criticalPaths
	}
	j.criticalPathsAt = s.now
	if j.criticalPaths == nil {
		j.criticalPaths = make([]time.Duration, len(j.Steps))
	}
	clear(j.criticalPaths)
	for i := len(j.Steps) - 1; i >= 0; i-- {
		p := &j.Steps[i]
		j.criticalPaths[i] += s.expected(q, p)
		for _, a := range p.After {
			j.criticalPaths[a] = max(j.criticalPaths[a], j.criticalPaths[i])
		}
	}
	return j.criticalPaths
}
