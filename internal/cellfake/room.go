package cellfake

import (
	"time"

	"github.com/spoolsill/spoolsill"
)

// A movingRoom is how many runs a worker has room for, where that moves. The zero value
// is a room that has not moved.
type movingRoom struct {
	moved    bool
	now      int
	former   int // before it shrank
	shrankAt time.Time
}

// SetRoom has a worker's room shrink or grow. What runs there stays.
func (f *Workers) SetRoom(id spoolsill.WorkerID, runs int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &f.workers[id].room
	was := r.judged(f.Room, f.RoomKnown)
	r.moved = true
	r.now = runs
	if runs < was {
		r.former = was
		r.shrankAt = time.Now()
	}
}

// judged returns the room that a start is judged by: a room that has just shrunk may
// not be known yet.
func (r *movingRoom) judged(usual int, known time.Duration) int {
	switch {
	case !r.moved:
		return usual
	case !r.shrankAt.IsZero() && time.Since(r.shrankAt) < known:
		return max(r.now, r.former)
	default:
		return r.now
	}
}
