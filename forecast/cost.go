package forecast

import (
	"math"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/saturate"
)

// A Cost is what work uses of the cell.
type Cost struct {
	// Processor is processor time, of one core.
	Processor time.Duration
	// Advice is the time of the advisor, which answers one query of a host at a time.
	Advice time.Duration
}

// Add returns c + o. Times saturate.
func (c Cost) Add(o Cost) Cost {
	return Cost{
		Processor: saturate.Add(c.Processor, o.Processor),
		Advice:    saturate.Add(c.Advice, o.Advice),
	}
}

// Sub returns c - o.
func (c Cost) Sub(o Cost) Cost {
	return Cost{
		Processor: c.Processor - o.Processor,
		Advice:    c.Advice - o.Advice,
	}
}

// ProcessorTime returns the processor time of n tasks that use p for d each.
func ProcessorTime(n int, p spoolsill.Millicores, d time.Duration) time.Duration {
	return saturate.FromFloat[time.Duration](float64(n) * float64(p) / float64(spoolsill.Core) * float64(d))
}

// A Supply is what the cell has for work that ends.
type Supply struct {
	// Processors are those of the workers that accept tasks, without what lasting tasks use.
	Processors spoolsill.Millicores
	// Queries is how many queries to the advisor the hosts can make concurrently.
	Queries int
}

// Known reports whether any worker accepts tasks. After a take-over, none does until workers
// have answered.
func (s Supply) Known() bool {
	return s.Processors > 0
}

// Never is a time that no work takes.
const Never = time.Duration(math.MaxInt64)

// Time returns how long the whole cell takes for c: the longer of the times that the workers and
// the advisor take. It returns Never if c needs what the cell does not have.
func (s Supply) Time(c Cost) time.Duration {
	return max(divide(c.Processor, float64(s.Processors)/float64(spoolsill.Core)), divide(c.Advice, float64(s.Queries)))
}

func divide(d time.Duration, by float64) time.Duration {
	switch {
	case d <= 0:
		return 0
	case by <= 0:
		return Never
	}
	t := float64(d) / by
	if t >= float64(Never) {
		return Never
	}
	return time.Duration(t)
}
