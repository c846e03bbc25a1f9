package sched_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// bornIn returns a life of the worker "w".
func bornIn(b spoolsill.Birth) spoolsill.Life {
	return spoolsill.Life{
		Worker: "w",
		Born:   b,
	}
}

// listBorn lists a life of a worker, of ten cores.
func (x *cell) listBorn(l spoolsill.Life) {
	x.state.ListWorker(x.now, sched.Worker{
		ID:       l.Worker,
		Born:     l.Born,
		Service:  "work",
		Address:  string(l.Worker),
		Capacity: cores(10),
	})
}

// reasons returns the reasons of the notes that were made since the last call.
func (x *cell) reasons() string {
	var all []string
	for _, n := range x.state.Notes() {
		all = append(all, string(n.Kind)+": "+n.Reason)
	}
	return strings.Join(all, "\n")
}

// That a worker has started again under its id is told once, with both births.
func TestWordOfAnotherLifeIsNoted(t *testing.T) {
	x := newCell(t)
	x.listBorn(bornIn(1000))
	x.listBorn(bornIn(1000))
	x.c.Assert(x.reasons(), qt.Not(qt.Contains), "1000")
	x.now = x.now.Add(time.Second)
	x.listBorn(bornIn(7000))
	told := x.reasons()
	x.c.Assert(told, qt.Contains, "7000")
	x.c.Assert(told, qt.Contains, "1000")
	x.listBorn(bornIn(7000))
	x.c.Assert(x.reasons(), qt.Not(qt.Contains), "7000")
}
