package leader_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/leader"
	"github.com/spoolsill/spoolsill/sched"
)

// Urgent questions go first; of the others those for which something waits,
// then the short ones, which hold long ones up by little.
func TestShortQuestionsDoNotWaitForLongOnes(t *testing.T) {
	question := func(q sched.QueueID, priority int, p sched.Purpose, cost time.Duration) sched.AdviceOrder {
		return sched.AdviceOrder{
			Queue:    q,
			Priority: priority,
			Purpose:  p,
			Cost:     cost,
		}
	}
	qs := []sched.AdviceOrder{
		question("long", 1, sched.Learn, time.Second),
		question("warm", 1, sched.Warm, time.Second),
		question("short", 2, sched.Learn, 100*time.Millisecond),
		question("held", 2, sched.Renew, time.Second),
		question("urgent", 0, sched.Learn, 10*time.Millisecond),
	}
	slices.SortStableFunc(qs, leader.CompareQuestions)
	var order []sched.QueueID
	for _, q := range qs {
		order = append(order, q.Queue)
	}
	qt.Assert(t, order, qt.DeepEquals, []sched.QueueID{"urgent", "held", "warm", "short", "long"})
}
