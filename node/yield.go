package node

import (
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/leader"
)

const (
	// yieldFactor is how many times the processor time of the leader's host another one
	// must have to lead in its place: a take-over costs some tenths of a second.
	yieldFactor = 2
	// yieldAfter is how long a larger host must have greeted the leader: all others have
	// been told of its size then, and let it go first.
	yieldAfter = time.Second
	// storeHeard is how long ago the store may have answered a host that could lead: its
	// feed of the configuration is answered each 0.7 s at least.
	storeHeard = 1500 * time.Millisecond
	// yieldPause is for how long a host that has yielded does not do so again. It leads
	// again within that time only if no larger one could.
	yieldPause = 30 * time.Second
)

// A leadingHost is what decides whether a host should go on leading. The load that it
// answers: hosts are of unlike size, and whichever comes first after a start of all leads.
// With a fifth of a core and 10 Mbit/s, of which the work needs most, nearly all of it
// was late until another host led: a day that began so earned 0.66 of its worth, two plays
// of it that a large host led 0.75 and 0.78.
type leadingHost struct {
	cores float64
	link  spoolsill.Bytes // a second; 0 when not told
	// larger is since when a host has greeted that should lead; zero if none has.
	larger time.Time
	// yielded is when the host last gave the leadership up for another one.
	yielded time.Time
}

// outdoes reports whether a host that greets is so much better fit to lead that it should.
func (l *leadingHost) outdoes(q greetRequest) bool {
	return q.MayLead && q.Cores >= yieldFactor*l.cores && q.Link >= l.link
}

// yields takes in a greeting and reports whether the leadership is to be given up now for
// the host that greets.
func (l *leadingHost) yields(now time.Time, q greetRequest) bool {
	if !l.outdoes(q) {
		return false
	}
	if l.larger.IsZero() {
		l.larger = now
	}
	if now.Sub(l.larger) < yieldAfter || !l.yielded.IsZero() && now.Sub(l.yielded) < yieldPause {
		return false
	}
	l.yielded = now
	return true
}

// yieldTo gives the leadership up if a host that greets should lead in this one's place.
func (n *Node) yieldTo(now time.Time, l *leader.Leader, by spoolsill.HostID, q greetRequest) {
	n.mu.Lock()
	yields := n.leading == l && n.fitness.yields(now, q)
	if yields {
		n.mostCores = max(n.mostCores, q.Cores) // it goes first when both take over
	}
	n.mu.Unlock()
	if yields {
		n.log.WithField("to", string(by)).WithField("cores", q.Cores).Info("leadership is given up for a larger host")
		l.Yield()
	}
}

// mayTakeOver reports whether this host could lead at once.
func (n *Node) mayTakeOver() bool {
	_, known := n.Config()
	n.mu.Lock()
	resting := !n.resignedAt.IsZero() && n.clock.Since(n.resignedAt) < resigned
	n.mu.Unlock()
	return known && !resting && !n.closing.Load() && n.health.heardWithin(n.clock.Now(), storeHeard)
}
