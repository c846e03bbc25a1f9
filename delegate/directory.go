package delegate

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/spoolsill/spoolsill"
)

const (
	// avoidTime is how long a host that left a call unanswered is avoided: as long as most
	// problems of a single host last.
	avoidTime = 3 * time.Second
	// minHostsPerAvoided bounds the hosts that are avoided at once: at most one in
	// minHostsPerAvoided hosts, and none if more have failed. When more hosts leave calls
	// unanswered, the fault is more likely with the caller: its own link or processor is
	// saturated, and calls that it made itself would add to that load.
	minHostsPerAvoided = 2
	// minCores is the minimum weight of a host.
	minCores = 0.05
)

// A Host is a host that can carry out calls.
type Host struct {
	ID   spoolsill.HostID
	Hall spoolsill.HallID
	// Cores is the processor time that the host has each second. It is the host's weight.
	Cores float64
}

// A Directory assigns the hosts that can carry out calls to workers. The zero value has no
// hosts. It is not safe for concurrent use.
type Directory struct {
	hosts   []Host
	avoided map[spoolsill.HostID]time.Time // hosts to avoid, and until when
	// available are the hosts that are not avoided, or all hosts when too many would be.
	available candidates
	// chosen caches the delegates of workers. A change of the hosts only affects the workers
	// of a host that is gone and those that a new host takes over.
	chosen map[spoolsill.WorkerID]choice
	// validUntil is when a host stops being avoided.
	validUntil time.Time
}

// A candidate is a host with the hash of its id.
type candidate struct {
	Host
	hash uint64
}

// candidates are hosts, sorted by id, and the same by hall.
type candidates struct {
	all    []candidate
	byHall map[spoolsill.HallID][]candidate
}

// of returns the hosts of a hall, or all if it has none.
func (c candidates) of(hall spoolsill.HallID) []candidate {
	if hs := c.byHall[hall]; len(hs) > 0 {
		return hs
	}
	return c.all
}

// A choice is the delegate of a worker.
type choice struct {
	host  candidate
	score float64
	hall  spoolsill.HallID // the worker's
}

// SetHosts sets the hosts that can carry out calls.
func (d *Directory) SetHosts(hosts []Host) {
	hosts = slices.Clone(hosts)
	slices.SortFunc(hosts, func(a, b Host) int { return cmp.Compare(a.ID, b.ID) })
	if slices.Equal(hosts, d.hosts) {
		return
	}
	d.hosts = hosts
	d.update()
}

// MarkFailed records that a host left a call unanswered or rejected it. It reports whether the
// host was not avoided before.
func (d *Directory) MarkFailed(h spoolsill.HostID, now time.Time) bool {
	if d.avoided == nil {
		d.avoided = map[spoolsill.HostID]time.Time{}
	}
	avoided := now.Before(d.avoided[h])
	d.avoided[h] = now.Add(avoidTime)
	if pruned := d.pruneAvoided(now); pruned || !avoided {
		d.update()
	}
	return !avoided
}

// Count returns the number of hosts, and how many of them are avoided at the moment.
func (d *Directory) Count(now time.Time) (all, avoided int) {
	for _, h := range d.hosts {
		if now.Before(d.avoided[h.ID]) {
			avoided++
		}
	}
	return len(d.hosts), avoided
}

// DelegateFor returns the host that carries out the next call to a worker of a hall; unanswered is
// the number of calls to the worker since its last response. Each unanswered call changes the
// choice, and every other one extends it to the hosts of all halls. It returns false when there are
// no hosts.
// Cost: O(1), and O(hosts of a hall) for the first call and the workers of a host that is gone.
func (d *Directory) DelegateFor(w spoolsill.WorkerID, hall spoolsill.HallID, unanswered int, now time.Time) (spoolsill.HostID, bool) {
	if len(d.avoided) > 0 && !now.Before(d.validUntil) {
		d.pruneAvoided(now)
		d.update()
	}
	if len(d.available.all) == 0 {
		return "", false
	}
	if unanswered > 0 {
		hs := d.available.of(hall)
		if unanswered%2 == 1 {
			hs = d.available.all
		}
		return hs[spread(hashOf(w), unanswered, len(hs))].ID, true
	}
	c, ok := d.chosen[w]
	if !ok || c.hall != hall {
		c = choose(d.available.of(hall), w, hall)
		if d.chosen == nil {
			d.chosen = map[spoolsill.WorkerID]choice{}
		}
		d.chosen[w] = c
	}
	return c.host.ID, true
}

// pruneAvoided removes the hosts whose time of avoidance is over from avoided, and reports
// whether there were any.
func (d *Directory) pruneAvoided(now time.Time) bool {
	pruned := false
	d.validUntil = now.Add(avoidTime)
	for h, until := range d.avoided {
		if !now.Before(until) {
			delete(d.avoided, h)
			pruned = true
		} else if until.Before(d.validUntil) {
			d.validUntil = until
		}
	}
	return pruned
}

// update determines the available hosts anew and adapts the choices to them.
// Cost: O(hosts + workers * added hosts).
func (d *Directory) update() {
	old := d.available.all
	d.available = d.findAvailable()
	gone := map[spoolsill.HostID]bool{}
	added := slices.Clone(d.available.all)
	for _, h := range old {
		i, ok := slices.BinarySearchFunc(added, h.ID, func(c candidate, id spoolsill.HostID) int { return cmp.Compare(c.ID, id) })
		if ok && added[i].Host == h.Host {
			added = slices.Delete(added, i, i+1)
			continue
		}
		gone[h.ID] = true
	}
	if len(gone) == 0 && len(added) == 0 {
		return
	}
	for w, c := range d.chosen {
		if gone[c.host.ID] {
			delete(d.chosen, w)
			continue
		}
		if better := c.best(added, w); better.host.ID != c.host.ID {
			d.chosen[w] = better
		}
	}
}

// findAvailable returns the hosts that are not avoided, or all hosts when too many would be.
func (d *Directory) findAvailable() candidates {
	usable := make([]candidate, 0, len(d.hosts))
	all := make([]candidate, 0, len(d.hosts))
	for _, h := range d.hosts {
		c := candidate{
			Host: h,
			hash: hashOf(h.ID),
		}
		all = append(all, c)
		if _, avoided := d.avoided[h.ID]; !avoided {
			usable = append(usable, c)
		}
	}
	if (len(all)-len(usable))*minHostsPerAvoided > len(all) {
		usable = all
	}
	x := candidates{
		all:    usable,
		byHall: map[spoolsill.HallID][]candidate{},
	}
	for _, c := range usable {
		x.byHall[c.Hall] = append(x.byHall[c.Hall], c)
	}
	return x
}

// best returns the choice for a worker among its present delegate and added hosts. Hosts of the
// worker's hall come before others.
func (c choice) best(added []candidate, w spoolsill.WorkerID) choice {
	for _, h := range added {
		local := c.host.Hall == c.hall
		if h.Hall != c.hall && local {
			continue
		}
		s := score(h, hashOf(w))
		if h.Hall == c.hall && !local || s > c.score {
			c.host = h
			c.score = s
		}
	}
	return c
}

// choose returns the host with the highest score for a worker, among at least one.
func choose(hosts []candidate, w spoolsill.WorkerID, hall spoolsill.HallID) choice {
	best := choice{
		score: math.Inf(-1),
		hall:  hall,
	}
	hash := hashOf(w)
	for _, h := range hosts {
		if s := score(h, hash); s > best.score {
			best.host = h
			best.score = s
		}
	}
	return best
}

func hashOf[ID ~string](id ID) uint64 {
	return xxhash.Sum64String(string(id))
}

// score returns the score of a host in weighted rendezvous hashing: the probability that a host has
// the highest score is its share of the total weight.
func score(h candidate, worker uint64) float64 {
	u := (float64(mix(h.hash^worker)>>11) + 0.5) / (1 << 53)
	return -max(h.Cores, minCores) / math.Log(u)
}

// spread returns an index below n. Successive values of i give indexes that are far apart.
func spread(hash uint64, i, n int) int {
	const goldenRatio = 0x9e3779b97f4a7c15 // of 2^64
	index, _ := bits.Mul64(hash+uint64(i)*goldenRatio, uint64(n))
	return int(index)
}

// mix is the finalizer of MurmurHash3, so that hashes that differ in one bit are far apart.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
