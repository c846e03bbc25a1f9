package sched_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// longestIdle is how long an accepted job may have nothing running although there is
// capacity for it twice over.
const longestIdle = 3 * time.Second

// answerQueries answers the queries due now, each of which the hosts handle one at a time.
// Long queries leave two hosts free, as the leader's do.
func (x *cell) answerQueries(queue []sched.AdviceOrder, busy []time.Time, answers map[time.Time][]sched.AdviceOrder) []sched.AdviceOrder {
	slices.SortStableFunc(queue, func(a, b sched.AdviceOrder) int { return cmp.Compare(a.Priority, b.Priority) })
	queue = slices.DeleteFunc(queue, func(o sched.AdviceOrder) bool {
		hosts := busy
		if o.Cost > 150*time.Millisecond {
			hosts = busy[2:]
		}
		for i := range hosts {
			if !hosts[i].After(x.now) {
				hosts[i] = x.now.Add(o.Cost)
				answers[hosts[i]] = append(answers[hosts[i]], o)
				return true
			}
		}
		return false
	})
	for at, orders := range answers {
		if at.After(x.now) {
			continue
		}
		for _, o := range orders {
			var ids []spoolsill.WorkerID
			for _, w := range o.Workers {
				ids = append(ids, w.Worker)
			}
			x.advise(o, ids...)
		}
		delete(answers, at)
	}
	return queue
}

// Guards against old jobs of the most urgent queue that wait for advice while the queries of
// wide work occupy the bound on queries in flight. Hosts were idle, and workers had capacity.
func TestOldSmallJobsAreAskedAboutBesideWideWork(t *testing.T) {
	const hosts, workers, wide, small = 15, 300, 60, 30
	x := newCell(t)
	x.state.SetQueues([]sched.Queue{
		{
			ID: "wide", Service: "work", Priority: 1, MaxAttempts: 1, Stretch: 20,
			Advisor: &sched.Advisor{
				Base:      455 * time.Millisecond,
				PerWorker: 6500 * time.Microsecond,
			},
		},
		{
			ID: "small", Service: "work", MaxAttempts: 1, Stretch: 1.5,
			Advisor: &sched.Advisor{
				Base:      9 * time.Millisecond,
				PerWorker: 130 * time.Microsecond,
			},
		},
	})
	x.state.SetMaxQueries(hosts)
	answering := map[spoolsill.WorkerID][]sched.RunID{}
	for i := range workers {
		id := spoolsill.WorkerID(fmt.Sprintf("w%d", i))
		x.addWorker(id)
		answering[id] = nil
	}
	for i := range wide {
		j := job(spoolsill.JobID(fmt.Sprintf("wide%d", i)), "wide", gang(20, 1))
		j.Received = x.now
		x.state.AddJob(x.now, j, sched.Progress{})
	}
	for i := range small {
		j := job(spoolsill.JobID(fmt.Sprintf("small%d", i)), "small", tasks(3, 1))
		j.Received = x.now.Add(-20 * time.Second)
		x.state.AddJob(x.now, j, sched.Progress{})
	}
	var queue []sched.AdviceOrder
	busy := make([]time.Time, hosts)
	answers := map[time.Time][]sched.AdviceOrder{}
	begun := map[spoolsill.JobID]bool{}
	for end := x.now.Add(longestIdle); x.now.Before(end); {
		for _, o := range x.step() {
			begun[o.Run.Task.Stage.Job] = true
			x.answerStart(o, sched.StartAccepted)
			answering[o.Worker] = append(answering[o.Worker], o.Run)
		}
		queue = append(queue, x.state.AdviceOrders()...)
		queue = x.answerQueries(queue, busy, answers)
		if x.now.UnixMilli()%500 == 0 {
			for id, runs := range answering {
				x.renewLease(id, runs...)
			}
		}
	}
	n := 0
	for i := range small {
		if begun[spoolsill.JobID(fmt.Sprintf("small%d", i))] {
			n++
		}
	}
	l := x.state.Load()
	x.c.Assert(2*l.Used.Processors < l.Capacity.Processors, qt.IsTrue, qt.Commentf("%v of %v used", l.Used, l.Capacity))
	x.c.Assert(n, qt.Equals, small, qt.Commentf("%d of %d wide jobs have begun", len(begun)-n, wide))
}
