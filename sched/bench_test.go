package sched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// fullState returns a state with n fully used workers and stages that wait for capacity, as
// a leader has it in an overloaded cell.
func fullState(n, waiting int, now time.Time) *sched.State {
	s := sched.New(sched.Config{
		Lease:      lease,
		StartLease: 3 * time.Second,
		TakenOver:  now,
	})
	s.SetQueues([]sched.Queue{
		{
			ID:          "q",
			Service:     "work",
			Priority:    1,
			MaxAttempts: 2,
			Stretch:     4,
			Goal:        time.Second,
		},
	})
	for i := range n {
		id := spoolsill.WorkerID(fmt.Sprintf("worker-%d", i))
		s.WorkerListed(now, sched.Worker{
			ID:       id,
			Service:  "work",
			Address:  string(id),
			Capacity: cores(64),
		})
		s.LeaseRequested(incarnationOf(id), sched.LeaseEnd(now, lease))
		s.Heartbeat(now, sched.Heartbeat{
			WorkerIncarnation: incarnationOf(id),
			Sent:              now,
			Clock:             1,
		})
	}
	for i := range n {
		s.AddJob(now, job(spoolsill.JobID(fmt.Sprintf("full-%d", i)), "q", tasks(6, 10)), sched.Progress{})
	}
	s.Decide(now)
	for i := range waiting {
		s.AddJob(now, job(spoolsill.JobID(fmt.Sprintf("wait-%d", i)), "q", tasks(10, 5)), sched.Progress{})
	}
	return s
}

// BenchmarkDecideFull measures a pass over 200 waiting stages in a full cell of 350
// workers, as at peak load in the grown deployments.
func BenchmarkDecideFull(b *testing.B) {
	now := time.Unix(1000, 0)
	s := fullState(350, 200, now)
	b.ReportAllocs()
	for b.Loop() {
		s.Decide(now)
	}
}

// BenchmarkJob measures all decisions about one job of two tasks, from acceptance to end,
// in a cell of 350 workers.
func BenchmarkJob(b *testing.B) {
	now := time.Unix(1000, 0)
	s := fullState(350, 0, now)
	id := spoolsill.WorkerID("fast")
	s.WorkerListed(now, sched.Worker{
		ID:       id,
		Service:  "work",
		Address:  "fast",
		Capacity: cores(64),
	})
	s.LeaseRequested(incarnationOf(id), sched.LeaseEnd(now, lease))
	var sequence uint64
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		n++
		s.Heartbeat(now, sched.Heartbeat{
			WorkerIncarnation: incarnationOf(id),
			Sent:              now,
		})
		s.AddJob(now, job(spoolsill.JobID(fmt.Sprintf("job-%d", n)), "q", tasks(2, 1)), sched.Progress{})
		s.Decide(now)
		x, _, err := s.Batch(now)
		if err != nil {
			b.Fatal(err)
		}
		for _, o := range s.BatchWritten(now, x) {
			s.StartAnswered(now, sched.StartAnswer{
				WorkerIncarnation: o.WorkerIncarnation,
				Run:               o.Run,
			})
			sequence++
			s.Heartbeat(now, sched.Heartbeat{
				WorkerIncarnation: incarnationOf(o.Worker),
				Sent:              now,
				Ended: []sched.End{
					{
						Sequence: sequence,
						Run:      o.Run,
					},
				},
				Partial: true,
			})
		}
		s.Notes()
		s.StatusUpdates()
	}
}

// BenchmarkDecideGangs measures a pass over 60 waiting gangs in a full cell of 350 workers.
// Each gang may use a quarter of the workers.
func BenchmarkDecideGangs(b *testing.B) {
	now := time.Unix(1000, 0)
	s := fullState(350, 0, now)
	s.SetMaxQueries(40)
	s.SetQueues([]sched.Queue{
		{
			ID:       "gangs",
			Service:  "work",
			Priority: 1,
			Stretch:  4,
			Goal:     time.Second,
			Advisor: &sched.Advisor{
				Base:      540 * time.Millisecond,
				PerWorker: 7 * time.Millisecond,
			},
		},
	})
	for i := range 60 {
		j := job(spoolsill.JobID(fmt.Sprintf("gang-%d", i)), "gangs", gang(20, 18))
		j.Received = now
		s.AddJob(now, j, sched.Progress{})
	}
	for range 5 {
		s.Decide(now)
		for _, q := range s.AdviceOrders() {
			a := sched.Advice{
				Order:    q,
				Received: now,
				Valid:    time.Hour,
			}
			for i := 0; i < len(q.Workers); i += 4 {
				a.Tickets = append(a.Tickets, sched.Ticket{
					Worker: q.Workers[i].Worker,
				})
			}
			s.AdviceReceived(now, a)
		}
		now = now.Add(time.Second / 2)
	}
	b.ReportAllocs()
	for b.Loop() {
		s.Decide(now)
	}
}

// backlogState returns a state with n waiting stages of three queues, most of them late or
// worthless. Nothing is known about them, and the bound on advisor queries is reached.
func backlogState(n int, now time.Time) *sched.State {
	s := fullState(300, 0, now)
	s.SetMaxQueries(10)
	s.SetQueues([]sched.Queue{
		{
			ID:          "gangs",
			Service:     "work",
			Priority:    1,
			MaxAttempts: 2,
			Stretch:     2.2,
			Goal:        time.Second,
			Advisor: &sched.Advisor{
				Base:      455 * time.Millisecond,
				PerWorker: 6500 * time.Microsecond,
			},
		},
		{
			ID:          "batches",
			Service:     "work",
			Priority:    2,
			MaxAttempts: 2,
			Stretch:     4,
			Goal:        3 * time.Second,
			Advisor: &sched.Advisor{
				Base:      156 * time.Millisecond,
				PerWorker: 2340 * time.Microsecond,
			},
		},
		{
			ID:          "small",
			Service:     "work",
			MaxAttempts: 2,
			Stretch:     1.5,
			Goal:        250 * time.Millisecond,
			Advisor: &sched.Advisor{
				Base:      9360 * time.Microsecond,
				PerWorker: 130 * time.Microsecond,
			},
		},
	})
	for i := range n {
		q, step := sched.QueueID("small"), tasks(3, 2)
		switch i % 10 {
		case 0:
			q, step = "gangs", gang(20, 4)
		case 1:
			q, step = "batches", tasks(25, 1)
		}
		j := job(spoolsill.JobID(fmt.Sprintf("wait-%d", i)), q, step)
		j.Received = now.Add(-time.Duration(i) * 20 * time.Millisecond)
		s.AddJob(now, j, sched.Progress{})
	}
	s.Decide(now)
	return s
}

// BenchmarkDecideBacklog measures a pass over 1,000 stages that wait for advice, as a leader
// has them after a power loss.
func BenchmarkDecideBacklog(b *testing.B) {
	now := time.Unix(1000, 0)
	s := backlogState(1000, now)
	b.ReportAllocs()
	for b.Loop() {
		s.Decide(now)
	}
}

// BenchmarkAskLarge measures the first pass over new jobs in a cell of 3,000 workers with
// free capacity, and the advisor queries that result.
func BenchmarkAskLarge(b *testing.B) {
	now := time.Unix(1000, 0)
	s := fullState(largeCellWorkers, 0, now)
	s.SetMaxQueries(300)
	s.SetQueues([]sched.Queue{
		{
			ID:       "advised",
			Service:  "work",
			Priority: 1,
			Stretch:  4,
			Goal:     time.Second,
			Advisor: &sched.Advisor{
				Base:      80 * time.Millisecond,
				PerWorker: time.Millisecond,
			},
		},
	})
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		for range jobsPerDecide {
			n++
			s.AddJob(now, job(spoolsill.JobID(fmt.Sprintf("job-%d", n)), "advised", tasks(2, 1)), sched.Progress{})
		}
		s.Decide(now)
		for _, q := range s.AdviceOrders() {
			s.AdviceReceived(now, sched.Advice{
				Order:    q,
				Received: now,
				Valid:    time.Second,
			})
			s.CancelJob(now, q.Stage.Job)
		}
		s.Notes()
		s.StatusUpdates()
	}
}

const (
	// largeCellWorkers is the number of workers in BenchmarkAskLarge and
	// BenchmarkListLarge.
	largeCellWorkers = 3000
	// jobsPerDecide is the number of jobs that are added between two passes.
	jobsPerDecide = 10
)

// BenchmarkListLarge measures the update of one worker's entry in a cell of 3,000 workers.
func BenchmarkListLarge(b *testing.B) {
	now := time.Unix(1000, 0)
	s := fullState(largeCellWorkers, 0, now)
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		n++
		id := spoolsill.WorkerID(fmt.Sprintf("worker-%d", n%largeCellWorkers))
		s.WorkerListed(now, sched.Worker{
			ID:       id,
			Machine:  string("machine-" + id),
			Service:  "work",
			Address:  string(id),
			Capacity: cores(64),
		})
	}
}

// BenchmarkDecideTeams measures a pass and the job that is added before it, in a full cell in which 400
// jobs of 20 teams wait, most of them over the share of their team.
func BenchmarkDecideTeams(b *testing.B) {
	now := time.Unix(1000, 0)
	s := fullState(350, 0, now)
	var teams []sched.Team
	for i := range 20 {
		teams = append(teams, sched.Team{
			ID:     spoolsill.TeamID(fmt.Sprintf("team-%d", i)),
			Weight: 1,
		})
	}
	s.SetTeams(now, teams)
	add := func(id spoolsill.JobID, n int) {
		p := tasks(200, 5)
		p.Estimate = time.Minute
		j := job(id, "q", p)
		j.Team = teams[n%len(teams)].ID
		j.Received = now
		s.AddJob(now, j, sched.Progress{})
	}
	for i := range 400 {
		add(spoolsill.JobID(fmt.Sprintf("wait-%d", i)), i)
	}
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		n++
		now = now.Add(time.Millisecond)
		id := spoolsill.JobID(fmt.Sprintf("job-%d", n))
		add(id, n)
		s.Decide(now)
		s.CancelJob(now, id)
		if _, _, err := s.Batch(now); err != nil {
			b.Fatal(err)
		}
		s.Notes()
		s.StatusUpdates()
	}
}

// BenchmarkDecideWaiting measures a pass over 400 waiting stages of 17 tasks in a full cell of 1,100
// workers, with the outlook that is cached.
func BenchmarkDecideWaiting(b *testing.B) {
	now := time.Unix(1000, 0)
	s := fullState(1100, 0, now)
	for i := range 400 {
		j := job(spoolsill.JobID(fmt.Sprintf("late-%d", i)), "q", tasks(17, 5))
		j.Received = now
		s.AddJob(now, j, sched.Progress{})
	}
	s.Decide(now)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		s.Decide(now)
	}
}

// BenchmarkOutlook measures an outlook of 400 waiting jobs in a full cell of 1,100 workers, as it is
// made each 100 ms at most.
func BenchmarkOutlook(b *testing.B) {
	now := time.Unix(1000, 0)
	s := fullState(1100, 400, now)
	s.Decide(now)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Second)
		s.Outlook(now)
	}
}

// BenchmarkDecideAdviceShort measures a pass over 230 stages of wide work that wait in a full cell of 350
// workers, while the advisor's time is short and hosts have places for queries.
func BenchmarkDecideAdviceShort(b *testing.B) {
	now := time.Unix(1000, 0)
	s := fullState(350, 0, now)
	s.SetMaxQueries(35)
	s.SetQueues([]sched.Queue{
		{
			ID:          "wide",
			Service:     "work",
			Priority:    2,
			MaxAttempts: 4,
			Stretch:     2.2,
			Goal:        time.Second,
			Advisor: &sched.Advisor{
				Base:      494 * time.Millisecond,
				PerWorker: 7150 * time.Microsecond,
			},
		},
	})
	for i := range 230 {
		j := job(spoolsill.JobID(fmt.Sprintf("wait-%d", i)), "wide", tasks(17, 5+i%3))
		j.Received = now
		s.AddJob(now, j, sched.Progress{})
	}
	s.Decide(now)
	for _, o := range s.AdviceOrders() {
		s.AdviceReceived(now, sched.Advice{
			Order:    o,
			Received: now,
			Lost:     true,
		})
	}
	now = now.Add(100 * time.Millisecond)
	b.ReportAllocs()
	for b.Loop() {
		s.Decide(now)
	}
}
