package leader

import (
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// A formerLeaders has the hosts whose earlier leaderships are not known to be over. Until they
// are, workers that can't be reached may have leases that such a host goes on extending.
type formerLeaders struct {
	mu    sync.Mutex
	hosts []spoolsill.HostID
	known bool // hosts is complete
	// ended is a time from which on none of the former leaders that are not in hosts leads.
	ended time.Time
	// leasesEnd is when their leases are over, whether or not they lead.
	leasesEnd time.Time
}

// set sets the hosts, and whether there are no others, at the time of the takeover. Leaders that
// are no longer among them ended before.
func (f *formerLeaders) set(hosts []spoolsill.HostID, known bool, takenOver time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts = hosts
	f.known = known
	f.ended = takenOver
}

func (f *formerLeaders) contains(h spoolsill.HostID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.hosts, h)
}

// remove removes a host that was found at the given time to lead no longer. If it was the last
// one, it returns the time from which on no former leader leads.
func (f *formerLeaders) remove(h spoolsill.HostID, at time.Time) (ended time.Time, last bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	// The row that is being written has the former slice.
	f.hosts = slices.DeleteFunc(slices.Clone(f.hosts), func(o spoolsill.HostID) bool { return o == h })
	if at.After(f.ended) {
		f.ended = at
	}
	return f.ended, f.known && len(f.hosts) == 0
}

// forget records that the leases of all former leaders are over.
func (f *formerLeaders) forget() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts = nil
	f.known = true
}

// list returns the hosts, and whether there can be no others.
func (f *formerLeaders) list() ([]spoolsill.HostID, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts, f.known
}

// RecordFollower records that a host follows this leadership: it has learned of it and does not
// lead, so that its earlier leaderships are over, also those of former processes.
func (l *Leader) RecordFollower(h spoolsill.HostID) {
	if !l.former.contains(h) {
		return
	}
	l.send(hostFollows{
		host: h,
		at:   l.config.Clock.Now(),
	})
}

// beginFormer begins with the former leaders that the leader row has.
func (l *Leader) beginFormer(now time.Time) {
	hosts, known := l.config.Chain.Former()
	l.former.set(hosts, known, now)
	l.former.leasesEnd = now.Add(l.config.Sched.InheritedLease)
	counted := known && l.config.CountedByFormer
	if counted || known && len(hosts) == 0 {
		l.state.FormerLeadersEnded(now, now)
		l.former.leasesEnd = sched.LeaseEnd(now, l.config.Sched.Lease)
	}
	l.config.Log.WithFields(logrus.Fields{
		"epoch":    uint64(l.Epoch()),
		"former":   hosts,
		"complete": known,
		"counted":  counted,
	}).Info("former leaders may extend leases")
}

func (l *Leader) handleFollower(now time.Time, e hostFollows) {
	if !l.former.contains(e.host) {
		return
	}
	ended, last := l.former.remove(e.host, e.at)
	l.config.Log.WithFields(logrus.Fields{
		"epoch":    uint64(l.Epoch()),
		"former":   string(e.host),
		"after_ms": now.Sub(l.config.Sched.TakenOver).Milliseconds(),
		"last":     last,
	}).Info("former leader extends no leases")
	if last {
		l.state.FormerLeadersEnded(now, ended)
	}
}

// storeFormer passes the former leaders on to the next write. Once their leases must be over,
// there are none.
func (l *Leader) storeFormer(now time.Time) {
	if now.After(l.former.leasesEnd) {
		l.former.forget()
	}
	if hosts, known := l.former.list(); known {
		l.config.Chain.SetFormer(hosts)
	}
}
