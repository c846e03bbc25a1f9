package node_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/node"
	"github.com/spoolsill/spoolsill/sched"
)

// Guards against attributing tickets to the wrong workers in replies from hosts of this
// release, which omit the worker ids, and of earlier ones.
func TestTicketsAcrossReleases(t *testing.T) {
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
