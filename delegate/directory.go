package delegate

import (
	"cmp"
	"math"
	"slices"
	"strconv"
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
	// chosen caches the delegates of workers. It is valid until the hosts change, a host
	// fails, or validUntil, when a host stops being avoided.
	chosen     map[spoolsill.WorkerID]spoolsill.HostID
	validUntil time.Time
}

// SetHosts sets the hosts that can carry out calls.
func (d *Directory) SetHosts(hosts []Host) {
	hosts = slices.Clone(hosts)
	slices.SortFunc(hosts, func(a, b Host) int { return cmp.Compare(a.ID, b.ID) })
	if slices.Equal(hosts, d.hosts) {
		return
	}
	d.hosts = hosts
	d.chosen = nil
}

// MarkFailed records that a host left a call unanswered or rejected it.
func (d *Directory) MarkFailed(h spoolsill.HostID, now time.Time) {
	if d.avoided == nil {
		d.avoided = map[spoolsill.HostID]time.Time{}
	}
	d.avoided[h] = now.Add(avoidTime)
	d.chosen = nil
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
// Cost: O(1), O(hosts) after a change and for a worker that does not respond.
func (d *Directory) DelegateFor(w spoolsill.WorkerID, hall spoolsill.HallID, unanswered int, now time.Time) (spoolsill.HostID, bool) {
	if unanswered > 0 {
		if unanswered%2 == 1 {
			hall = ""
		}
		h := choose(d.available(now), w, hall, unanswered)
		return h, h != ""
	}
	if d.chosen == nil || !now.Before(d.validUntil) {
		d.chosen = map[spoolsill.WorkerID]spoolsill.HostID{}
		d.validUntil = d.pruneAvoided(now)
	}
	h, ok := d.chosen[w]
	if !ok {
		h = choose(d.available(now), w, hall, 0)
		d.chosen[w] = h
	}
	return h, h != ""
}

// pruneAvoided removes the hosts whose time of avoidance is over, and returns when the next one
// will be removed, at most avoidTime from now.
func (d *Directory) pruneAvoided(now time.Time) time.Time {
	next := now.Add(avoidTime)
	for h, until := range d.avoided {
		if !now.Before(until) {
			delete(d.avoided, h)
		} else if until.Before(next) {
			next = until
		}
	}
	return next
}

// available returns the hosts that are not avoided, or all hosts when too many would be.
func (d *Directory) available(now time.Time) []Host {
	usable := make([]Host, 0, len(d.hosts))
	for _, h := range d.hosts {
		if !now.Before(d.avoided[h.ID]) {
			usable = append(usable, h)
		}
	}
	if (len(d.hosts)-len(usable))*minHostsPerAvoided > len(d.hosts) {
		return d.hosts
	}
	return usable
}

// choose returns the host with the highest score for a worker in a round, among those of a hall or
// among all if the hall has none. It returns "" when there are no hosts.
func choose(hosts []Host, w spoolsill.WorkerID, hall spoolsill.HallID, round int) spoolsill.HostID {
	candidates := make([]Host, 0, len(hosts))
	for _, h := range hosts {
		if h.Hall == hall {
			candidates = append(candidates, h)
		}
	}
	if len(candidates) == 0 {
		candidates = hosts
	}
	var best spoolsill.HostID
	highest := math.Inf(-1)
	for _, h := range candidates {
		if s := score(h, w, round); s > highest {
			highest = s
			best = h.ID
		}
	}
	return best
}

// score returns the score of a host in weighted rendezvous hashing: the probability that a host has
// the highest score is its share of the total weight.
func score(h Host, w spoolsill.WorkerID, round int) float64 {
	x := xxhash.Sum64String(string(h.ID) + "/" + string(w) + "/" + strconv.Itoa(round))
	u := (float64(x>>11) + 0.5) / (1 << 53)
	return -max(h.Cores, minCores) / math.Log(u)
}
