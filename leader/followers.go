package leader

import (
	"sync"
	"time"

	"github.com/spoolsill/spoolsill"
)

// A Stamp is a time of a leadership. A host that follows it sends the latest one back, which proves that
// the host still followed at that time. 0 means none.
type Stamp time.Duration

// A FollowerID identifies one process of a host.
type FollowerID struct {
	Host        spoolsill.HostID
	Incarnation spoolsill.Incarnation
}

const (
	// FollowerMemory is how long after its last counted heartbeat a host may rely on being
	// counted by a leader that can write.
	FollowerMemory = 10 * time.Second
	// followerRetention is how long before its last write the leader remembers followers. It exceeds
	// FollowerMemory by the drift of clocks.
	followerRetention = FollowerMemory + time.Second
	// freshWrite is the age up to which the leader's last write proves by itself that no other
	// host leads.
	freshWrite = 500 * time.Millisecond
)

// followers are the hosts that the leader counts on: a lease that it requests ends at most one lease after
// each of them was known to follow, or after the leader's last write. So a follower that takes over knows
// that all leases of the former leader end within one lease. A host that is not counted must assume twice
// the lease after its takeover, to which the leader limits itself in any case. Followers are
// forgotten only by a successful write, which proves that none of them has taken over.
type followers struct {
	mu     sync.Mutex
	states map[FollowerID]*followerState
}

type followerState struct {
	heardAt     time.Time
	confirmedAt time.Time // the latest time at which it was known to follow; zero if none is
}

// count records a heartbeat of a follower, which confirms that it followed at the given time.
func (f *followers) count(id FollowerID, now, confirmed time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.states == nil {
		f.states = map[FollowerID]*followerState{}
	}
	s := f.states[id]
	if s == nil {
		s = &followerState{}
		f.states[id] = s
	}
	s.heardAt = now
	if confirmed.After(s.confirmedAt) {
		s.confirmedAt = confirmed
	}
}

// written forgets the followers that were silent before a successful write.
func (f *followers) written(begun time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, s := range f.states {
		if begun.Sub(s.heardAt) > followerRetention {
			delete(f.states, id)
		}
	}
}

// allFollowedAt returns the latest time at which all followers were known to follow, or now if there
// are none. Cost: O(followers).
func (f *followers) allFollowedAt(now time.Time) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := now
	for _, s := range f.states {
		if s.confirmedAt.Before(at) {
			at = s.confirmedAt
		}
	}
	return at
}

// CountFollower records a heartbeat of a host that follows this leadership and does not try to take
// over, with the last stamp that it was sent. It returns the next one.
func (l *Leader) CountFollower(id FollowerID, confirmed Stamp) Stamp {
	now := l.config.Clock.Now()
	var at time.Time
	if confirmed > 0 {
		at = l.created.Add(time.Duration(confirmed))
	}
	l.followers.count(id, now, at)
	return Stamp(max(now.Sub(l.created), 1))
}

// soleLeaderAt returns the latest time at which no other host can have led, as far as that matters to
// hosts that this leader counts.
func (l *Leader) soleLeaderAt(now time.Time) time.Time {
	written, writes := l.LastWrite()
	if writes == 0 && !l.config.AcquiredAt.IsZero() {
		written = l.config.AcquiredAt
	}
	if now.Sub(written) <= freshWrite {
		return written
	}
	if at := l.followers.allFollowedAt(now); at.After(written) {
		return at
	}
	return written
}
