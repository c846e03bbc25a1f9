package delegate_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/delegate"
)

func hosts(n, halls int) []delegate.Host {
	var hs []delegate.Host
	for i := range n {
		hs = append(hs, delegate.Host{
			ID:    spoolsill.HostID(fmt.Sprintf("host%d", i)),
			Hall:  spoolsill.HallID(fmt.Sprintf("hall%d", i%halls)),
			Cores: 0.2,
		})
	}
	return hs
}

// delegatesOf returns the delegates of the first workers of a hall.
func delegatesOf(d *delegate.Directory, workers int, hall spoolsill.HallID, now time.Time) map[spoolsill.WorkerID]spoolsill.HostID {
	m := map[spoolsill.WorkerID]spoolsill.HostID{}
	for i := range workers {
		w := spoolsill.WorkerID(fmt.Sprintf("w%d", i))
		m[w], _ = d.DelegateFor(w, hall, 0, now)
	}
	return m
}

func TestDelegateForWithoutHosts(t *testing.T) {
	var d delegate.Directory
	_, ok := d.DelegateFor("w", "hall0", 0, time.Now())
	qt.Assert(t, ok, qt.IsFalse)
}

// In a hall of 30 hosts and 2,200 workers all delegates are hosts of the hall, and the number of
// workers of each host is about proportional to its cores.
func TestWorkersAreDistributedByCoresWithinHall(t *testing.T) {
	c := qt.New(t)
	var d delegate.Directory
	hs := hosts(150, 5)
	hs[0].Cores = 0.8 // four times the others, in hall0
	d.SetHosts(hs)
	count := map[spoolsill.HostID]int{}
	for _, h := range delegatesOf(&d, 2200, "hall0", time.Now()) {
		count[h]++
	}
	c.Assert(count, qt.HasLen, 30)
	for _, h := range hs {
		switch {
		case h.Hall != "hall0":
			c.Check(count[h.ID], qt.Equals, 0)
		case h.ID == "host0": // 4 of 33 units of weight
			c.Check(count[h.ID] > 200 && count[h.ID] < 340, qt.IsTrue, qt.Commentf("%d", count[h.ID]))
		default:
			c.Check(count[h.ID] > 30 && count[h.ID] < 110, qt.IsTrue, qt.Commentf("%d", count[h.ID]))
		}
	}
}

// When a host is removed or fails, its workers get another delegate at once, and no other worker
// does.
func TestOnlyWorkersOfLostHostChangeDelegate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(t, "hosts")
		lost := rapid.IntRange(0, n-1).Draw(t, "lost")
		fails := rapid.Bool().Draw(t, "fails")
		now := time.Unix(1000, 0)
		var d delegate.Directory
		hs := hosts(n, 1)
		d.SetHosts(hs)
		before := delegatesOf(&d, 100, "hall0", now)
		if fails {
			d.MarkFailed(hs[lost].ID, now)
		} else {
			d.SetHosts(append(append([]delegate.Host{}, hs[:lost]...), hs[lost+1:]...))
		}
		after := delegatesOf(&d, 100, "hall0", now)
		for w, h := range before {
			if h != hs[lost].ID && after[w] != h {
				t.Fatalf("delegate of %s changed from %s to %s", w, h, after[w])
			}
			if after[w] == hs[lost].ID {
				t.Fatalf("delegate of %s is still the lost host", w)
			}
		}
	})
}

// A host that left a call unanswered is used again after 3 s. While more than half of the hosts
// would be avoided, none is.
func TestFailedHostIsUsedAgainLater(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var d delegate.Directory
	d.SetHosts(hosts(3, 1))
	before := delegatesOf(&d, 50, "hall0", now)
	d.MarkFailed("host1", now)
	d.MarkFailed("host2", now.Add(time.Second)) // more than half have failed: none is avoided
	all, avoided := d.Count(now.Add(time.Second))
	c.Assert([]int{all, avoided}, qt.DeepEquals, []int{3, 2})
	c.Assert(delegatesOf(&d, 50, "hall0", now.Add(time.Second)), qt.DeepEquals, before)
	c.Assert(delegatesOf(&d, 50, "hall0", now.Add(3500*time.Millisecond)), qt.Not(qt.DeepEquals), before)
	c.Assert(delegatesOf(&d, 50, "hall0", now.Add(5*time.Second)), qt.DeepEquals, before)
}

// When all hosts of a hall fail, or the hall has none, hosts of other halls carry out its calls.
func TestHallWithoutHostsUsesOtherHalls(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var d delegate.Directory
	hs := hosts(9, 3)
	d.SetHosts(hs)
	for _, h := range hs {
		if h.Hall == "hall1" {
			d.MarkFailed(h.ID, now)
		}
	}
	for _, h := range delegatesOf(&d, 50, "hall1", now) {
		c.Check(h, qt.Not(qt.Equals), spoolsill.HostID(""))
		for _, x := range hs {
			c.Check(x.ID == h && x.Hall == "hall1", qt.IsFalse)
		}
	}
	h, ok := d.DelegateFor("w", "nowhere", 0, now)
	c.Check(ok, qt.IsTrue)
	c.Check(h, qt.Not(qt.Equals), spoolsill.HostID(""))
}

// The calls to a worker that does not respond go through changing hosts, of its hall and of
// others: the delegate may be what is disconnected, not the worker.
func TestUnansweredCallsChangeDelegate(t *testing.T) {
	var d delegate.Directory
	hs := hosts(40, 4)
	d.SetHosts(hs)
	hallOf := map[spoolsill.HostID]spoolsill.HallID{}
	for _, h := range hs {
		hallOf[h.ID] = h.Hall
	}
	delegates := map[spoolsill.HostID]bool{}
	halls := map[spoolsill.HallID]bool{}
	for i := range 10 {
		h, _ := d.DelegateFor("w", "hall0", i, time.Now())
		delegates[h] = true
		halls[hallOf[h]] = true
		if i%2 == 0 {
			qt.Check(t, hallOf[h], qt.Equals, spoolsill.HallID("hall0"))
		}
	}
	qt.Check(t, len(delegates) >= 6, qt.IsTrue, qt.Commentf("%d hosts", len(delegates)))
	qt.Check(t, len(halls) >= 3, qt.IsTrue, qt.Commentf("%d halls", len(halls)))
}

// Whatever happens before, the delegates are those of a directory that learns of the hosts at
// once.
func TestDelegatesDependOnTheHostsAlone(t *testing.T) {
	const halls, workers = 3, 60
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		all := hosts(12, halls)
		var d delegate.Directory
		var set []delegate.Host
		failedAt := map[spoolsill.HostID]time.Time{}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "fails") && len(set) > 0 {
				h := rapid.SampledFrom(set).Draw(t, "failed").ID
				failedAt[h] = now
				d.MarkFailed(h, now)
			} else {
				set = rapid.SliceOfNDistinct(rapid.SampledFrom(all), 0, len(all), func(h delegate.Host) spoolsill.HostID { return h.ID }).Draw(t, "hosts")
				d.SetHosts(set)
			}
			var fresh delegate.Directory
			fresh.SetHosts(set)
			for h, at := range failedAt {
				if now.Sub(at) < 3*time.Second {
					fresh.MarkFailed(h, at)
				}
			}
			for i := range workers {
				w := spoolsill.WorkerID(fmt.Sprintf("w%d", i))
				hall := spoolsill.HallID(fmt.Sprintf("hall%d", i%halls))
				got, _ := d.DelegateFor(w, hall, 0, now)
				want, _ := fresh.DelegateFor(w, hall, 0, now)
				if got != want {
					t.Fatalf("delegate of %s in %s is %q, want %q", w, hall, got, want)
				}
			}
		}
	})
}

// Guards against a leader that is busy with its directory: while a hall is cut off, its hosts
// fail one after the other, and the delegates of all workers were chosen anew each time. Each
// choice took memory, so that the allocations tell how many were made.
func TestFailedHostCostsOnlyItsWorkers(t *testing.T) {
	const n, halls, workers = 500, 5, 5000
	var d delegate.Directory
	hs := hosts(n, halls)
	d.SetHosts(hs)
	now := time.Unix(1000, 0)
	delegates := func(unanswered int) {
		for i := range workers {
			d.DelegateFor(workerIDs[i], hallIDs[i%halls], unanswered, now)
		}
	}
	delegates(0)
	next := 0
	allocs := testing.AllocsPerRun(20, func() {
		d.MarkFailed(hs[next].ID, now)
		next++
		delegates(0)
		delegates(1)
	})
	qt.Check(t, allocs < workers/10, qt.IsTrue, qt.Commentf("%.0f allocations after a failure", allocs))
}

var (
	workerIDs = ids[spoolsill.WorkerID]("w", 5000)
	hallIDs   = ids[spoolsill.HallID]("hall", 5)
)

func ids[ID ~string](prefix string, n int) []ID {
	out := make([]ID, n)
	for i := range out {
		out[i] = ID(fmt.Sprintf("%s%d", prefix, i))
	}
	return out
}

// BenchmarkFailedHost fails the hosts of a hall of a cell of 585 hosts and 6,000 workers, one
// after the other, and finds the delegates of all workers after each.
func BenchmarkFailedHost(b *testing.B) {
	const n, halls = 585, 5
	hs := hosts(n, halls)
	now := time.Unix(1000, 0)
	var d delegate.Directory
	d.SetHosts(hs)
	for i := 0; b.Loop(); i++ {
		now = now.Add(30 * time.Millisecond)
		d.MarkFailed(hs[i*halls%n].ID, now)
		for j, w := range workerIDs {
			d.DelegateFor(w, hallIDs[j%halls], 0, now)
		}
	}
}
