package sched

import "github.com/spoolsill/spoolsill/advisor"

// A waitKind is the reason why a stage is not placed.
type waitKind uint8

const (
	waitUnknown waitKind = iota
	waitAdvice
	waitCapacity
	waitQuota
)

// recordWait adds the time since the last update of g's wait reason to its job's account.
func (d *decider) recordWait(g *stage) {
	t := d.now.Sub(g.waitUpdatedAt)
	if g.job.overShare && (g.waitingFor == waitAdvice || g.waitingFor == waitCapacity) {
		g.job.account.Share += t
	}
	switch g.waitingFor {
	case waitAdvice:
		g.job.account.Advice += t
	case waitCapacity:
		g.job.account.Room += t
	case waitQuota:
		g.job.account.Quota += t
	default:
	}
	g.waitingFor = waitUnknown
}

// beginWait sets what g waits for after an attempt to place it.
func (d *decider) beginWait(g *stage, q *Queue) {
	g.waitUpdatedAt = d.now
	switch {
	case g.advice.refused == advisor.NoRoom && len(g.planned) == 0:
		g.waitingFor = waitCapacity
	case len(g.planned) > 0 || q.Advisor != nil && len(g.advice.allowed) == 0:
		g.waitingFor = waitAdvice
	case g.placeable():
		g.waitingFor = waitCapacity
	default:
	}
}

// finalAccount returns the account of a finished job, with its objective filled in.
func (s *State) finalAccount(j *job) *Account {
	a := j.account
	if len(j.stages) > 0 {
		q := s.queue(j)
		a.Objective = q.objective(s.criticalPathsOf(j, q))
	}
	return &a
}
