package cellfake

import (
	"context"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// An Advisor lets every worker run everything. It implements [leader.Advisor].
type Advisor struct {
	HostIDs []spoolsill.HostID
	// Cut is the host that does not reach the advisor.
	Cut spoolsill.HostID
}

// Hosts implements [leader.Advisor].
func (a *Advisor) Hosts() []spoolsill.HostID {
	return a.HostIDs
}

// Ask implements [leader.Advisor].
func (a *Advisor) Ask(ctx context.Context, h spoolsill.HostID, _ sched.StageID, workers []spoolsill.WorkerID) ([]sched.Ticket, time.Duration, error) {
	if a.Cut != "" && h == a.Cut {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	if err := spend(ctx, callTime); err != nil {
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
