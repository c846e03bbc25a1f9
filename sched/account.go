package sched

// A waitKind is what a stage waits for.
type waitKind uint8

const (
	waitNothing waitKind = iota
	waitAdvice
	waitRoom
	waitQuota
)

// charge adds the time since a stage was last looked at to its job's account.
func (d *decider) charge(g *stage) {
	t := d.now.Sub(g.lookedAt)
	switch g.waits {
	case waitAdvice:
		g.job.account.Advice += t
	case waitRoom:
		g.job.account.Room += t
	case waitQuota:
		g.job.account.Quota += t
	default:
	}
	g.waits = waitNothing
}

// await takes in what a stage waits for from now on, after it was looked at.
func (d *decider) await(g *stage, q *Queue) {
	g.lookedAt = d.now
	switch {
	case len(g.planned) > 0 || q.Advisor != nil && len(g.advice.allowed) == 0:
		g.waits = waitAdvice
	case g.placeable():
		g.waits = waitRoom
	default:
	}
}

// accountOf returns the account of a job that has ended.
func (s *State) accountOf(j *job) *Account {
	a := j.account
	if len(j.stages) > 0 {
		a.Objective = s.objective(j.stages[0], s.queue(j))
	}
	return &a
}
