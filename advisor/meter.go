package advisor

import "time"

// A Demand is what the advisor is asked at a moment.
type Demand struct {
	// InFlight is the advisor's time for the queries without an answer, Wanted that for the
	// queries that were wanted and not made.
	InFlight, Wanted time.Duration
	// Places is how many queries the hosts can make concurrently.
	Places int
}

// Wait returns how long the advisor takes until it has answered all queries.
func (d Demand) Wait() time.Duration {
	return (d.InFlight + d.Wanted) / time.Duration(max(d.Places, 1))
}

// A Meter tells whether the advisor's time is short. Its zero value is a meter of an advisor
// that has time.
type Meter struct {
	short bool
}

const (
	// waitShare is the part of a ticket's time that the advisor may take for all queries, as a
	// divisor. With more, stages that wait for room hold usable tickets for less than half
	// of the time, and their renewals displace first queries.
	waitShare = 2
	// relief is the factor by which the wait must fall below that for time to be no longer short.
	// Work that arrives in waves would otherwise be asked about in two ways by turns.
	relief = 2
)

// Observe updates the meter with the demand; tickets are valid for some time. Time does not become
// short while all queries that are wanted are made, however long they take.
func (m *Meter) Observe(d Demand, valid time.Duration) {
	limit := valid / waitShare
	if m.short {
		limit /= relief
	}
	m.short = d.Wait() > limit && (m.short || d.Wanted > 0)
}

// Short reports whether the advisor's time is short.
func (m *Meter) Short() bool {
	return m.short
}
