package advisor

import "time"

// LongQuery is the time from which on a query is long. Short queries are answered while a long one
// is, if they have hosts of their own.
const LongQuery = 150 * time.Millisecond

// A Budget is the advisor's time as of one pass of decisions.
type Budget struct {
	// Places is how many queries the hosts can make concurrently, InFlight the number of
	// those without an answer, of which OfQueue are about the queue of the stage.
	Places, InFlight, OfQueue int
	// Queues is the number of queues that want to ask.
	Queues int
	// Valid is how long tickets are valid.
	Valid time.Duration
}

// A Stage is work that the advisor could be asked about.
type Stage struct {
	// Waited is the time since the last answer about the stage or, before the first,
	// since the stage could start.
	Waited time.Duration
	// Tasks is the number of its tasks that wait.
	Tasks int
	// Worthless is set for work that earns nothing any more.
	Worthless bool
}

// A Verdict says whether a stage may be asked about.
type Verdict int

// The verdicts.
const (
	Granted  Verdict = iota
	Seated           // its tickets are expected to seat it
	NoPlace          // hosts have as many queries as they can make soon
	NoRoom           // too few workers have room for an answer to be worth its time
	Verdicts         // the number of verdicts
)

var verdictNames = [...]string{"granted", "seated", "no place", "no room"}

// String returns the name of v.
func (v Verdict) String() string {
	if int(v) >= len(verdictNames) {
		return "unknown"
	}
	return verdictNames[v]
}

const (
	// queuedShare is the number of places for each query that waits for one. The next
	// query of a host must be there when it has answered one; with more of them, workers
	// would be chosen long before the query is made.
	queuedShare = 4
	// worthlessShare is the number of places for each query beyond the limit about work
	// that earns nothing any more: accepted work must not wait without end.
	worthlessShare = 8
)

// SeatFactor is how many times the waiting tasks of a stage must be expected to fit where it has
// tickets, for it not to need others: other stages have tickets for the same room.
const SeatFactor = 2

// Admit reports whether hosts can soon make another query about a stage. Each queue has a share of
// the places, since the queries of the stages ranked first would otherwise keep those of
// other queues waiting without end.
func (b Budget) Admit(s Stage) bool {
	limit := max(b.Places, 1) + max(b.Places/queuedShare, 1)
	share := max(limit/max(b.Queues, 1), 1)
	if s.Worthless {
		limit += max(b.Places/worthlessShare, 1)
	}
	return b.InFlight < limit || b.OfQueue < share
}

// maxTicketTimes is the number of ticket times after which a stage is asked about whatever room there is.
const maxTicketTimes = 2

// maxRoomWait is how long a stage of few tasks waits for more workers with room, beside one or a
// few that have room for all of its tasks. It is far less than the seconds for which
// callers accept that work waits beside idle workers.
const maxRoomWait = 500 * time.Millisecond

// Worthwhile reports whether an answer about workers with some room is worth its time. A ticket for a
// worker without room expires before it can be used, yet accepted work must not wait without
// end, and not for long beside workers that have room for it.
func (b Budget) Worthwhile(s Stage, r Room) bool {
	switch {
	case r.Expected >= 1, s.Waited >= maxTicketTimes*b.Valid:
		return true
	default:
		return s.Tasks > 0 && r.Seats >= s.Tasks && s.Waited >= maxRoomWait
	}
}
