package lease_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/lease"
)

// at returns the reading of both clocks d after the start.
func at(d time.Duration) lease.ClockReading {
	return lease.ClockReading{
		Wall: time.UnixMicro(0).Add(d),
		Mono: d,
	}
}

// startedKeeper returns a keeper that has just started and read the row.
func startedKeeper(version uint64, r lease.Row) *lease.Keeper {
	k := lease.NewKeeper(lease.Config{
		Host:  "vake-1",
		Hosts: []spoolsill.HostID{"vake-1", "vake-2"},
		Join:  10 * time.Second,
	}, at(0))
	k.Next(at(0))
	k.ReadDone(at(0), true, version, r)
	return k
}

var releasedRow = lease.Row{
	Holder: "vake-2",
	Epoch:  3,
	Roster: []spoolsill.HostID{
		"vake-1",
		"vake-2",
	},
	Released: true,
}

func TestReleasedLeaseIsAcquiredAfterJoined(t *testing.T) {
	c := qt.New(t)
	k := startedKeeper(7, releasedRow)
	c.Assert(k.Next(at(time.Millisecond)).Kind, qt.Equals, lease.NoAction)
	k.MarkJoined()
	c.Assert(k.Next(at(2*time.Millisecond)).Kind, qt.Equals, lease.WriteRow)
}

func TestReleasedLeaseIsAcquiredAfterJoinTimeout(t *testing.T) {
	c := qt.New(t)
	k := startedKeeper(7, releasedRow)
	c.Assert(k.Next(at(9999*time.Millisecond)).Kind, qt.Not(qt.Equals), lease.WriteRow)
	k.ReadDone(at(9999*time.Millisecond), true, 7, releasedRow)
	c.Assert(k.Next(at(10*time.Second)).Kind, qt.Equals, lease.WriteRow)
}

func TestFirstLeaseOfHallDoesNotWaitForJoin(t *testing.T) {
	k := startedKeeper(0, lease.Row{})
	qt.Assert(t, k.Next(at(time.Millisecond)).Kind, qt.Equals, lease.WriteRow)
}
