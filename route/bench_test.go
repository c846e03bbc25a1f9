package route_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/route"
)

// BenchmarkRequest dispatches and finishes one request, with 17 runners of which
// half the slots are occupied.
func BenchmarkRequest(b *testing.B) {
	s := route.NewState(route.Config{
		Host: "h",
	})
	var list []spoolsill.Runner
	for i := range 17 {
		list = append(list, spoolsill.Runner{
			ID: spoolsill.RunnerID(fmt.Sprintf("r%d", i)),
		})
	}
	now := time.UnixMicro(1_000_000_000)
	s.SetRunners(now, list)
	r := spoolsill.Request{
		Caller:   "c",
		Worth:    1,
		Deadline: now.Add(time.Hour),
	}
	for i := range 68 {
		s.Arrive(now, route.Arrival{
			Ticket:  route.Ticket(i + 1),
			Request: r,
		})
	}
	t := route.Ticket(1000)
	b.ReportAllocs()
	for b.Loop() {
		t++
		s.Arrive(now, route.Arrival{
			Ticket:  t,
			Request: r,
		})
		s.Finish(now, t, route.Answered)
	}
}
