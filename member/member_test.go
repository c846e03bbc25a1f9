package member_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/member"
)

func list() member.List {
	return member.List{
		Workers: []spoolsill.Worker{{
			ID:   "w",
			Hall: "h",
		}},
		Runners: []spoolsill.Runner{{
			ID:   "r",
			Hall: "h",
		}},
	}
}

func TestLeavingTakesEffectAtFirstReport(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMicro(1_000_000)
	v := member.NewView(member.Config{})
	v.SetList(now, list())
	c.Assert(v.State("r"), qt.Equals, member.Live)
	c.Assert(v.SetLeaving(now, "r"), qt.IsTrue)
	c.Assert(v.SetLeaving(now, "r"), qt.IsFalse)
	// A stale list does not clear the report.
	v.SetList(now.Add(time.Second), list())
	c.Assert(v.Runners("h")[0].Leaving, qt.IsTrue)
	c.Assert(v.State("r"), qt.Equals, member.Leaving)
	// A list that still does not show it after HoldLeaving clears it.
	v.SetList(now.Add(2*member.DefaultHoldLeaving), list())
	c.Assert(v.Runners("h")[0].Leaving, qt.IsFalse)
}

func TestDrainedMachinesAreLeavingUntilUndone(t *testing.T) {
	c := qt.New(t)
	v := member.NewView(member.Config{})
	v.SetList(time.UnixMicro(1), list())
	v.SetDrained([]string{"w"})
	c.Assert(v.Workers("h")[0].Leaving, qt.IsTrue)
	v.SetDrained(nil)
	c.Assert(v.Workers("h")[0].Leaving, qt.IsFalse)
}

func TestMachineIsSuspectAfterFailedCalls(t *testing.T) {
	c := qt.New(t)
	v := member.NewView(member.Config{})
	v.SetList(time.UnixMicro(1), list())
	for range member.DefaultSuspectAfter {
		v.RecordCall("w", false)
	}
	c.Assert(v.State("w"), qt.Equals, member.Suspect)
	v.RecordCall("w", true)
	c.Assert(v.State("w"), qt.Equals, member.Live)
	c.Assert(v.State("x"), qt.Equals, member.Gone)
}
