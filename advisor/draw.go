package advisor

import (
	"cmp"
	"slices"
)

// A Candidate is a worker that a query about a stage could be about.
type Candidate struct {
	// Index identifies the worker to the caller.
	Index int
	// Seats is how many tasks of the stage fit into its room.
	Seats int
	// Share is how likely the advisor allows it: 1 if an earlier answer did.
	Share float64
	// Spread orders workers of equal room; see [Spread].
	Spread uint64
}

// expected returns how many tasks the answer is expected to place at the worker.
func (c Candidate) expected() float64 {
	return c.Share * float64(c.Seats)
}

// A Target says what a query should be about.
type Target struct {
	// Tasks is the number of waiting tasks.
	Tasks int
	// AtLeast and AtMost bound the number of workers. Up to AtLeast they cost little beside
	// the query itself.
	AtLeast, AtMost int
}

// headroom is the multiple of the waiting tasks that the answer should be expected to seat, since
// other work takes a part of the room before the answer arrives.
const headroom = 2

// A Room is what candidates have for the tasks of a stage.
type Room struct {
	// Seats is how many tasks fit there.
	Seats int
	// Expected is how many of them the answer to a query about all candidates is expected to place.
	Expected float64
}

// RoomOf returns the room of candidates.
func RoomOf(candidates []Candidate) Room {
	var r Room
	for _, c := range candidates {
		r.Seats += c.Seats
		r.Expected += c.expected()
	}
	return r
}

// Draw returns the candidates that one query should be about. It takes those with the most room, as
// many as are expected to seat all tasks with some headroom. Others are added up to the least
// number, since room may become free there while the tickets are valid. It reorders candidates.
func Draw(candidates []Candidate, w Target) []Candidate {
	slices.SortFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.expected(), a.expected()), cmp.Compare(b.Share, a.Share), cmp.Compare(a.Spread, b.Spread))
	})
	seats := 0.0
	for i, c := range candidates {
		if i == w.AtMost || i >= w.AtLeast && (c.Seats == 0 || seats >= headroom*float64(w.Tasks)) {
			return candidates[:i]
		}
		seats += c.expected()
	}
	return candidates
}

// Spread returns a number by which the workers of a cell are in a different order for each stage,
// and in the same one whenever the stage is asked about.
func Spread(stage uint64, worker int) uint64 {
	x := stage ^ uint64(worker)*0x9e3779b97f4a7c15
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}
