package place_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/place"
)

func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	c := qt.New(t)
	s := newHall(place.Config{}, 2)
	addJob(c, s, start, job("first", 1, 4))
	decide(c, s, start, place.TaskPlaced)
	g := job("gang", 2, 8)
	g.Kind = spoolsill.KindGang
	addJob(c, s, start, g)
	c.Assert(decide(c, s, start, place.TaskPlaced), qt.HasLen, 0)
	v, _, _ := s.Job("gang")
	c.Assert(v.Reason, qt.Contains, "not all 2 tasks fit at once")
}

// TestGangIsNotStarved submits small tasks all the time, which without a
// reservation take every free core before there are enough for the gang.
func TestGangIsNotStarved(t *testing.T) {
	for _, off := range []bool{false, true} {
		t.Run(fmt.Sprintf("reservation off=%t", off), func(t *testing.T) {
			c := qt.New(t)
			s := newHall(place.Config{
				NoReservation: off,
				GangPatience:  -1,
			}, 2)
			addJob(c, s, start, job("first", 4, 4))
			running := decide(c, s, start, place.TaskPlaced)
			confirmStarts(s, start, running)
			g := job("gang", 2, 8)
			g.Kind = spoolsill.KindGang
			addJob(c, s, start, g)
			started := false
			now := start
			for i := 0; i < 40 && !started; i++ {
				addJob(c, s, now, job(fmt.Sprintf("small%d", i), 2, 4))
				placed := decide(c, s, now, place.TaskPlaced)
				for _, r := range placed {
					started = started || r.Task.Job == "gang"
				}
				confirmStarts(s, now, placed)
				running = append(running, placed...)
				now = now.Add(5 * time.Second)
				for range min(2, len(running)) {
					report(s, now, running[0], place.Exited)
					running = running[1:]
				}
			}
			c.Assert(started, qt.Equals, !off)
		})
	}
}

// TestGangPreemptsAfterItsPatience checks that a gang of class Normal preempts
// tasks of class Patient only after GangPatience, and then for all its tasks at
// once.
func TestGangPreemptsAfterItsPatience(t *testing.T) {
	c := qt.New(t)
	s := newHall(place.Config{}, 2)
	p := job("patient", 4, 4)
	p.Class = spoolsill.ClassPatient
	addJob(c, s, start, p)
	confirmStarts(s, start, decide(c, s, start, place.TaskPlaced))
	g := job("gang", 2, 8)
	g.Kind = spoolsill.KindGang
	addJob(c, s, start, g)
	c.Assert(decide(c, s, start, place.TaskCheckpointing), qt.HasLen, 0)
	now := start.Add(place.DefaultGangPatience)
	out := decide(c, s, now, place.TaskCheckpointing)
	c.Assert(out, qt.HasLen, 4)
	for _, r := range out {
		report(s, now, r, place.Checkpointed)
	}
	placed := decide(c, s, now, place.TaskPlaced)
	c.Assert(placed, qt.HasLen, 2)
	c.Assert(placed[0].Task.Job, qt.Equals, spoolsill.JobID("gang"))
}
