package node_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/node"
	"github.com/spoolsill/spoolsill/sched"
)

// Guards against tickets that are taken for those of other workers, from hosts of this
// release, which do not name the workers again, and of earlier ones.
func TestTicketsOfBothReleases(t *testing.T) {
	asked := []spoolsill.WorkerID{"a", "b", "c", "d"}
	tickets := []sched.Ticket{
		{
			Worker: "b",
			Text:   "tb",
		},
		{
			Worker: "d",
			Text:   "td",
		},
	}
	for _, inOrder := range []bool{false, true} {
		qt.Check(t, node.TicketsOverTheWire(inOrder, asked, tickets), qt.DeepEquals, tickets)
		qt.Check(t, node.TicketsOverTheWire(inOrder, asked, nil), qt.HasLen, 0)
	}
}
