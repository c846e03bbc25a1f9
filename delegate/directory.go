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
	// restTime is how long a host that left a call unanswered is passed over: as
	// long as troubles of one host mostly last.
	restTime = 3 * time.Second
	// restShare is the part of the hosts that may be passed over at once, one in so
	// many. When more leave calls unanswered, the fault is likelier to be with the
	// caller: its own link or processor is full, and calls that it made itself would
	// fill them further.
	restShare = 2
	// leastCores bounds the weight of very small hosts.
	leastCores = 0.05
)

// A Host can carry calls out.
type Host struct {
	ID   spoolsill.HostID
	Hall spoolsill.HallID
	// Cores is the processor time that it has each second: its weight.
	Cores float64
}

// A Directory knows which hosts can carry calls out. The zero value knows of none. Not
// safe for concurrent use.
type Directory struct {
	hosts   []Host
	resting map[spoolsill.HostID]time.Time // until when
	// chosen are the delegates of workers, as of the latest change of who can be one,
	// and until a host has rested.
	chosen map[spoolsill.WorkerID]spoolsill.HostID
	until  time.Time
}

// SetHosts takes in which hosts can carry calls out.
func (d *Directory) SetHosts(hosts []Host) {
	hosts = slices.Clone(hosts)
	slices.SortFunc(hosts, func(a, b Host) int { return cmp.Compare(a.ID, b.ID) })
	if slices.Equal(hosts, d.hosts) {
		return
	}
	d.hosts = hosts
	d.chosen = nil
}

// MarkFailed takes in that a host left a call unanswered, or did not take it.
func (d *Directory) MarkFailed(h spoolsill.HostID, now time.Time) {
	if d.resting == nil {
		d.resting = map[spoolsill.HostID]time.Time{}
	}
	d.resting[h] = now.Add(restTime)
	d.chosen = nil
}

// Count returns how many hosts can carry calls out, and how many of them rest.
func (d *Directory) Count(now time.Time) (all, resting int) {
	for _, h := range d.hosts {
		if now.Before(d.resting[h.ID]) {
			resting++
		}
	}
	return len(d.hosts), resting
}

// DelegateFor returns the host that carries out the next call to a worker, of which so many in
// a row had no answer: each of them leads to another host, every other time to one of
// any hall. It returns false when there is none.
// Cost: O(1), O(hosts) after a change and for a worker that does not answer.
func (d *Directory) DelegateFor(w spoolsill.WorkerID, hall spoolsill.HallID, unanswered int, now time.Time) (spoolsill.HostID, bool) {
	if unanswered > 0 {
		if unanswered%2 == 1 {
			hall = ""
		}
		h := choose(d.able(now), w, hall, unanswered)
		return h, h != ""
	}
	if d.chosen == nil || !now.Before(d.until) {
		d.chosen = map[spoolsill.WorkerID]spoolsill.HostID{}
		d.until = d.nextRested(now)
	}
	h, ok := d.chosen[w]
	if !ok {
		h = choose(d.able(now), w, hall, 0)
		d.chosen[w] = h
	}
	return h, h != ""
}

// nextRested forgets the hosts that have rested, and returns when the next one will
// have.
func (d *Directory) nextRested(now time.Time) time.Time {
	next := now.Add(restTime)
	for h, end := range d.resting {
		if !now.Before(end) {
			delete(d.resting, h)
		} else if end.Before(next) {
			next = end
		}
	}
	return next
}

// able returns the hosts that do not rest; all of them when too many would.
func (d *Directory) able(now time.Time) []Host {
	able := make([]Host, 0, len(d.hosts))
	for _, h := range d.hosts {
		if !now.Before(d.resting[h.ID]) {
			able = append(able, h)
		}
	}
	if (len(d.hosts)-len(able))*restShare > len(d.hosts) {
		return d.hosts
	}
	return able
}

// choose returns the host with the highest score in a round among those of a hall, or
// among all when the hall has none; "" when there are no hosts.
func choose(hosts []Host, w spoolsill.WorkerID, hall spoolsill.HallID, round int) spoolsill.HostID {
	near := make([]Host, 0, len(hosts))
	for _, h := range hosts {
		if h.Hall == hall {
			near = append(near, h)
		}
	}
	if len(near) == 0 {
		near = hosts
	}
	var best spoolsill.HostID
	most := math.Inf(-1)
	for _, h := range near {
		if s := score(h, w, round); s > most {
			most = s
			best = h.ID
		}
	}
	return best
}

// score is the one of weighted rendezvous hashing: the chance of a host to have the
// highest is its part of all weights.
func score(h Host, w spoolsill.WorkerID, round int) float64 {
	x := xxhash.Sum64String(string(h.ID) + "/" + string(w) + "/" + strconv.Itoa(round))
	u := (float64(x>>11) + 0.5) / (1 << 53)
	return -max(h.Cores, leastCores) / math.Log(u)
}
