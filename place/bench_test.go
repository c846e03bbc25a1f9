package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/place"
)

// BenchmarkDecision places and ends one task in a hall of 110 workers with
// 1,000 running tasks, and in one state of all 2,100 workers.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{110, 2100} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			s := newHall(place.Config{}, n)
			fill := job("fill", min(n*9, 1000), 1)
			fill.Tasks = 1000
			fill.Shape.Processors = 500
			if err := s.Apply(place.Record{
				Kind: place.JobAdded,
				At:   start.UnixMicro(),
				Job:  &fill,
			}); err != nil {
				b.Fatal(err)
			}
			for {
				if _, full := s.Decide(start); !full {
					break
				}
			}
			now := start
			i := 0
			for b.Loop() {
				i++
				now = now.Add(time.Millisecond)
				j := job("one", 1, 1)
				j.ID = spoolsill.JobID(fmt.Sprintf("one-%d", i))
				_ = s.Apply(place.Record{
					Kind: place.JobAdded,
					At:   now.UnixMicro(),
					Job:  &j,
				})
				records, _ := s.Decide(now)
				s.Report(now, place.Report{
					Task:    records[0].Task,
					Attempt: records[0].Attempt,
					Outcome: place.Exited,
				})
			}
		})
	}
}
