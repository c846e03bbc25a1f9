package sched

import (
	"cmp"
	"slices"
	"time"
)

// A tier groups stages by what running them still earns.
type tier int

const (
	tierUrgent    tier = iota // of the first priority, and can be in time
	tierOnTime                // can be in time
	tierLate                  // can't be in time, still earns a part
	tierOverShare             // could be in time or earn a part, and is beyond its team's share
	tierWorthless             // earns nothing any more
)

// A rank orders stages: by tier, by the priority of their queue, then by the time
// that is left.
type rank struct {
	tier     tier
	priority int
	slack    time.Duration
}

func (r rank) compare(o rank) int {
	return cmp.Or(
		cmp.Compare(r.tier, o.tier),
		cmp.Compare(r.priority, o.priority),
		cmp.Compare(r.slack, o.slack),
	)
}

// lateFactor is up to how many times its objective a job earns a part, by the
// platform's accounting.
const lateFactor = 3

func (s *State) rank(g *stage) rank {
	q := s.queue(g.job)
	objective := s.objective(g, q)
	since := g.job.Received
	if !g.due.IsZero() {
		since = g.due
	}
	waited := s.wallClock().Sub(since)
	chain := s.criticalPath(g)
	slack := objective - waited - chain
	r := rank{
		tier:     tierOnTime,
		priority: q.Priority,
		slack:    slack,
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
	if g.job.overShare {
		r.tier = max(r.tier, tierOverShare)
	}
	return r
}

// objective is the time within which the stage's round should be done.
func (s *State) objective(g *stage, q *Queue) time.Duration {
	return time.Duration(q.Stretch*float64(slices.Max(s.criticalPathsOf(g.job, q)))) + q.Goal
}

// criticalPath is the expected time of the longest chain that begins with g.
func (s *State) criticalPath(g *stage) time.Duration {
	return s.criticalPathsOf(g.job, s.queue(g.job))[g.id.Step]
}

// criticalPathTTL is how long a job's chains are kept: what is expected of its tasks
// changes slowly.
const criticalPathTTL = 500 * time.Millisecond

// criticalPathsOf returns for each step of a job the expected time of the longest chain
// that begins with it. Steps wait only for earlier ones.
func (s *State) criticalPathsOf(j *job, q *Queue) []time.Duration {
	if j.criticalPaths != nil && s.now.Sub(j.criticalPathsAt) < criticalPathTTL {
		return j.criticalPaths
	}
	j.criticalPathsAt = s.now
	j.criticalPaths = make([]time.Duration, len(j.Steps))
	for i := len(j.Steps) - 1; i >= 0; i-- {
		p := &j.Steps[i]
		j.criticalPaths[i] += s.expected(q, p)
		for _, a := range p.After {
			j.criticalPaths[a] = max(j.criticalPaths[a], j.criticalPaths[i])
		}
	}
	return j.criticalPaths
}
