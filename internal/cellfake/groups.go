package cellfake

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/spoolsill/spoolsill/leader"
)

// groupRoutes is the number of routes over which the workers of [Groups] are spread.
const groupRoutes = 3

// Groups renew the leases of workers in groups, by a call to each worker. They implement
// [leader.GroupRenewer].
type Groups struct {
	Workers leader.Workers
}

// Route implements [leader.GroupRenewer].
func (g *Groups) Route(t leader.Target) string {
	return "route" + strconv.FormatUint(xxhash.Sum64String(string(t.Worker))%groupRoutes, 10)
}

// RenewGroup implements [leader.GroupRenewer].
func (g *Groups) RenewGroup(ctx context.Context, _ string, rs []leader.Renewal) []leader.GroupAnswer {
	answers := make([]leader.GroupAnswer, len(rs))
	answeredAt := make([]time.Time, len(rs))
	var calls sync.WaitGroup
	for i, r := range rs {
		calls.Go(func() {
			answers[i].Heartbeat, answers[i].Reply = g.Workers.Renew(ctx, r)
			answeredAt[i] = time.Now()
		})
	}
	calls.Wait()
	for i, at := range answeredAt {
		answers[i].Age = time.Since(at)
	}
	return answers
}
