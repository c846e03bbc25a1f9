package cellfake

import (
	"context"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// An Advisor issues a ticket for every worker and stage. It implements [leader.Advisor].
type Advisor struct {
	HostIDs []spoolsill.HostID
	// Cut is the host whose queries get no answer; empty means none.
	Cut spoolsill.HostID
	// OnQuery, if not nil, is called for each query. Calls may be concurrent.
	OnQuery func(stage sched.StageID)
	// Takes is extra latency of each answer.
	Takes time.Duration
}

// Hosts implements [leader.Advisor].
func (a *Advisor) Hosts() []spoolsill.HostID {
	return a.HostIDs
}

// Ask implements [leader.Advisor].
func (a *Advisor) Ask(ctx context.Context, h spoolsill.HostID, stage sched.StageID, workers []spoolsill.WorkerID) ([]sched.Ticket, time.Duration, error) {
	if a.OnQuery != nil {
		a.OnQuery(stage)
	}
	if a.Cut != "" && h == a.Cut {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	if err := sleep(ctx, callLatency+a.Takes); err != nil {
		return nil, 0, err
	}
	var tickets []sched.Ticket
	for _, w := range workers {
		tickets = append(tickets, sched.Ticket{
			Worker: w,
			Text:   "for-" + string(w),
		})
	}
	return tickets, time.Second, nil
}
