package cellfake

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// AdvisedWork describes what a [SerialAdvisor] does with the queries of a queue.
type AdvisedWork struct {
	// Advisor is how long a query takes.
	sched.Advisor
	// Allowed is the percentage of the workers that may run a stage.
	Allowed uint32
}

// A SerialAdvisor handles the queries of each host one after the other, as the advisors
// of known sites do. It implements [leader.Advisor].
type SerialAdvisor struct {
	HostIDs []spoolsill.HostID
	// Transit is the network latency of a query and its answer.
	Transit time.Duration
	// WorkOf returns the work that a stage belongs to.
	WorkOf func(stage sched.StageID) AdvisedWork

	mu   sync.Mutex
	busy map[spoolsill.HostID]chan struct{}
}

// Hosts implements [leader.Advisor].
func (a *SerialAdvisor) Hosts() []spoolsill.HostID {
	return append([]spoolsill.HostID(nil), a.HostIDs...)
}

// Ask implements [leader.Advisor].
func (a *SerialAdvisor) Ask(ctx context.Context, h spoolsill.HostID, stage sched.StageID, workers []spoolsill.WorkerID) ([]sched.Ticket, time.Duration, error) {
	if err := sleep(ctx, a.Transit/2); err != nil {
		return nil, 0, err
	}
	w := a.WorkOf(stage)
	if err := a.decide(ctx, h, w.Base+time.Duration(len(workers))*w.PerWorker); err != nil {
		return nil, 0, err
	}
	if err := sleep(ctx, a.Transit/2); err != nil {
		return nil, 0, err
	}
	var tickets []sched.Ticket
	for _, id := range workers {
		f := fnv.New32a()
		_, _ = f.Write([]byte(stage.String() + string(id)))
		if f.Sum32()>>8%100 < w.Allowed {
			tickets = append(tickets, sched.Ticket{
				Worker: id,
				Text:   "for-" + string(id),
			})
		}
	}
	return tickets, ticketLife, nil
}

// ticketLife is how long tickets of a [SerialAdvisor] are valid.
const ticketLife = 1500 * time.Millisecond

// decide waits until the earlier queries of a host are done and then for d.
func (a *SerialAdvisor) decide(ctx context.Context, h spoolsill.HostID, d time.Duration) error {
	a.mu.Lock()
	if a.busy == nil {
		a.busy = map[spoolsill.HostID]chan struct{}{}
	}
	busy := a.busy[h]
	if busy == nil {
		busy = make(chan struct{}, 1)
		a.busy[h] = busy
	}
	a.mu.Unlock()
	select {
	case busy <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-busy }()
	return sleep(ctx, d)
}
