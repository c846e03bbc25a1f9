package lease_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/seed"
	"github.com/spoolsill/spoolsill/lease"
)

// A simulation runs the keepers of a hall's hosts and the lease row, with lost responses,
// delayed writes, hosts that are paused, restarted or disconnected, and clocks that are
// stepped.
type simulation struct {
	now          time.Duration
	hosts        []*host
	row          lease.Row
	version      uint64
	lateWrites   []lateWrite
	incarnations spoolsill.Incarnation
	config       lease.Config
	takeovers    int
}

type host struct {
	id         spoolsill.HostID
	keeper     *lease.Keeper
	wallOffset time.Duration // offset of the wall clock
	paused     bool
	tableUp    bool // the table is reachable
	acting     bool
	suspended  time.Duration // total time for which the monotonic clock was stopped
}

// A lateWrite reaches the table after its sender has timed out.
type lateWrite struct {
	row     lease.Row
	version uint64
}

func newSimulation(n int, c lease.Config) *simulation {
	s := &simulation{
		now:    time.Hour,
		config: c,
	}
	for i := range n {
		s.hosts = append(s.hosts, &host{
			id:      spoolsill.HostID(fmt.Sprintf("h%d", i)),
			tableUp: true,
		})
	}
	for _, h := range s.hosts {
		s.start(h)
	}
	return s
}

func (s *simulation) start(h *host) {
	s.incarnations++
	c := s.config
	c.Host = h.id
	c.Incarnation = s.incarnations
	for _, x := range s.hosts {
		c.Hosts = append(c.Hosts, x.id)
	}
	h.keeper = lease.NewKeeper(c, s.reading(h))
	h.acting = false
}

func (s *simulation) reading(h *host) lease.ClockReading {
	return lease.ClockReading{
		Wall: time.UnixMicro(0).Add(s.now + h.wallOffset),
		Mono: s.now - h.suspended,
	}
}

func (s *simulation) pick(t *rapid.T) *host {
	return rapid.SampledFrom(s.hosts).Draw(t, "host")
}

// step has one host perform the next action of its keeper.
func (s *simulation) step(t *rapid.T) {
	h := s.pick(t)
	if h.paused {
		return
	}
	now := s.reading(h)
	a := h.keeper.Next(now)
	switch a.Kind {
	case lease.ReadRow:
		h.keeper.ReadDone(now, h.tableUp, s.version, s.row)
	case lease.WriteRow:
		s.write(t, h, a)
	case lease.RequestPromises:
		s.requestPromises(t, h, a, now)
	}
}

func (s *simulation) write(t *rapid.T, h *host, a lease.Action) {
	now := s.reading(h)
	if !h.tableUp {
		h.keeper.WriteDone(now, lease.WriteRejected)
		return
	}
	switch rapid.IntRange(0, 5).Draw(t, "write") {
	case 0: // the response is lost
		s.apply(lateWrite{
			row:     a.Row,
			version: a.Version,
		})
		h.keeper.WriteDone(now, lease.WriteUnknown)
	case 1: // the write is delayed
		s.lateWrites = append(s.lateWrites, lateWrite{
			row:     a.Row,
			version: a.Version,
		})
		h.keeper.WriteDone(now, lease.WriteUnknown)
	default:
		if !s.apply(lateWrite{
			row:     a.Row,
			version: a.Version,
		}) {
			h.keeper.WriteDone(now, lease.WriteConflict)
			return
		}
		h.keeper.WriteDone(now, lease.WriteApplied)
	}
}

func (s *simulation) apply(x lateWrite) bool {
	if x.version != s.version {
		return false
	}
	if x.row.Epoch != s.row.Epoch {
		s.takeovers++
	}
	s.row = x.row
	s.version++
	return true
}

// deliverLate delivers the oldest delayed write to the table.
func (s *simulation) deliverLate(*rapid.T) {
	if len(s.lateWrites) == 0 {
		return
	}
	s.apply(s.lateWrites[0])
	s.lateWrites = s.lateWrites[1:]
}

func (s *simulation) requestPromises(t *rapid.T, h *host, a lease.Action, requested lease.ClockReading) {
	for _, x := range s.hosts {
		if x == h || x.paused || !slices.Contains(a.Row.Roster, x.id) || rapid.IntRange(0, 4).Draw(t, "request lost") == 0 {
			continue
		}
		if x.keeper.Promise(s.reading(x), a.Row.Epoch) {
			h.keeper.RecordPromise(requested, x.id)
		}
	}
}

// advance advances the time.
func (s *simulation) advance(t *rapid.T) {
	s.now += time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond
}

// wait advances the time by 8 s, with a step of one host every 200 ms.
func (s *simulation) wait(t *rapid.T) {
	for range 40 {
		s.now += 200 * time.Millisecond
		s.step(t)
	}
}

func (s *simulation) togglePause(t *rapid.T) {
	h := s.pick(t)
	h.paused = !h.paused
}

// suspend advances the time while the monotonic clock of a host is stopped, as during the
// suspension of its machine.
func (s *simulation) suspend(t *rapid.T) {
	h := s.pick(t)
	d := time.Duration(rapid.IntRange(1, 20_000).Draw(t, "duration")) * time.Millisecond
	s.now += d
	h.suspended += d
}

func (s *simulation) toggleTable(t *rapid.T) {
	h := s.pick(t)
	h.tableUp = !h.tableUp
}

func (s *simulation) restart(t *rapid.T) {
	s.start(s.pick(t))
}

// stepWallClock steps a wall clock forward, which only costs availability. Steps back are
// left out: a host whose wall clock is stepped back during a suspension, so that both of its
// clocks fail at once, is outside the guarantee.
func (s *simulation) stepWallClock(t *rapid.T) {
	s.pick(t).wallOffset += time.Duration(rapid.IntRange(0, 30_000).Draw(t, "jump")) * time.Millisecond
}

// check verifies that at most one of the hosts that are not paused holds the lease.
func (s *simulation) check(t *rapid.T) {
	var holders []spoolsill.HostID
	for _, h := range s.hosts {
		if h.paused {
			continue
		}
		if _, ok := h.keeper.Holds(s.reading(h)); ok {
			holders = append(holders, h.id)
		}
	}
	if len(holders) > 1 {
		t.Fatalf("%v hold the lease at once", holders)
	}
}

func oneHolder(c lease.Config) func(*rapid.T) {
	return func(t *rapid.T) {
		s := newSimulation(rapid.IntRange(1, 3).Draw(t, "hosts"), c)
		t.Repeat(map[string]func(*rapid.T){
			"":            s.check,
			"step":        s.step,
			"step2":       s.step,
			"step3":       s.step,
			"deliver":     s.deliverLate,
			"pass":        s.advance,
			"wait":        s.wait,
			"pause":       s.togglePause,
			"sleep":       s.suspend,
			"table":       s.toggleTable,
			"new process": s.restart,
			"jump":        s.stepWallClock,
		})
	}
}

func TestAtMostOneHolder(t *testing.T) {
	rapid.Check(t, oneHolder(lease.Config{}))
}

// Guards against a model that can't find two holders: without promises, a holder that
// extends its lease on its own must make the property fail.
func TestTwoHoldersWithoutPromises(t *testing.T) {
	qt.Assert(t, seed.FindsFailure(t, oneHolder(lease.Config{
		NoPromises: true,
	})), qt.IsTrue)
}

// run runs all hosts that are not paused for d, without new faults.
func (s *simulation) run(d time.Duration) {
	const step = 50 * time.Millisecond
	for end := s.now + d; s.now < end; s.now += step {
		for _, h := range s.hosts {
			if h.paused {
				continue
			}
			now := s.reading(h)
			a := h.keeper.Next(now)
			switch a.Kind {
			case lease.ReadRow:
				h.keeper.ReadDone(now, h.tableUp, s.version, s.row)
			case lease.WriteRow:
				s.writeNow(h, a)
			case lease.RequestPromises:
				s.requestAllPromises(h, a, now)
			}
		}
	}
}

func (s *simulation) writeNow(h *host, a lease.Action) {
	now := s.reading(h)
	switch {
	case !h.tableUp:
		h.keeper.WriteDone(now, lease.WriteRejected)
	case s.apply(lateWrite{
		row:     a.Row,
		version: a.Version,
	}):
		h.keeper.WriteDone(now, lease.WriteApplied)
	default:
		h.keeper.WriteDone(now, lease.WriteConflict)
	}
}

func (s *simulation) requestAllPromises(h *host, a lease.Action, now lease.ClockReading) {
	for _, x := range s.hosts {
		if x != h && !x.paused && x.keeper.Promise(s.reading(x), a.Row.Epoch) {
			h.keeper.RecordPromise(now, x.id)
		}
	}
}

func (s *simulation) holder() *host {
	for _, h := range s.hosts {
		if _, ok := h.keeper.Holds(s.reading(h)); ok && !h.paused {
			return h
		}
	}
	return nil
}

func (s *simulation) setTable(up bool) {
	for _, h := range s.hosts {
		h.tableUp = up
	}
}

func TestFirstLeaseIsAcquiredImmediately(t *testing.T) {
	s := newSimulation(2, lease.Config{})
	s.run(2 * time.Second)
	qt.Assert(t, s.holder(), qt.IsNotNil)
}

func TestDeadHolderIsReplacedWithinTenSeconds(t *testing.T) {
	s := newSimulation(2, lease.Config{})
	s.run(20 * time.Second)
	s.holder().paused = true
	s.run(10 * time.Second)
	qt.Assert(t, s.holder(), qt.IsNotNil)
}

func TestHolderKeepsLeaseDuringTableOutage(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(3, lease.Config{})
	s.run(20 * time.Second)
	h := s.holder()
	s.setTable(false)
	for range 60 {
		s.run(10 * time.Second)
		c.Assert(s.holder(), qt.Equals, h)
	}
	s.setTable(true)
	s.run(20 * time.Second)
	c.Assert(s.holder(), qt.Equals, h)
}

func TestTableOutageWithDeadHostEndsLease(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(2, lease.Config{})
	s.run(20 * time.Second)
	h := s.holder()
	for _, x := range s.hosts {
		x.paused = x != h
	}
	s.setTable(false)
	s.run(20 * time.Second)
	c.Assert(s.holder(), qt.IsNil)
	s.setTable(true)
	s.run(5 * time.Second)
	c.Assert(s.holder(), qt.Equals, h)
}

// Guards against an expired lease that is extended by promises: the holder is paused while
// another host takes over, then that host restarts without memory of it while the table is
// unreachable for both.
func TestExpiredLeaseIsNotExtendedByPromises(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(2, lease.Config{})
	s.run(20 * time.Second)
	old := s.holder()
	old.paused = true
	s.run(10 * time.Second)
	next := s.holder()
	c.Assert(next, qt.IsNotNil)
	s.setTable(false)
	s.start(next)
	old.paused = false
	s.run(10 * time.Second)
	c.Assert(s.holder(), qt.IsNil)
}

func TestReleasedLeaseIsAcquiredWithinSeconds(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(2, lease.Config{})
	s.run(20 * time.Second)
	h := s.holder()
	h.keeper.Release()
	s.run(2500 * time.Millisecond)
	c.Assert(h.keeper.Released(), qt.IsTrue)
	c.Assert(s.holder(), qt.IsNotNil)
	c.Assert(s.holder(), qt.Not(qt.Equals), h)
}

func TestLeaseIsAcquiredAfterAllHostsRestart(t *testing.T) {
	s := newSimulation(2, lease.Config{})
	s.run(20 * time.Second)
	for _, h := range s.hosts {
		s.start(h)
	}
	s.run(10 * time.Second)
	qt.Assert(t, s.holder(), qt.IsNotNil)
}
