package logchart

import (
	"maps"
	"slices"
	"time"

	"github.com/spoolsill/spoolsill/logstory"
)

// A Point is a value at a time, in seconds since the first log line.
type Point struct {
	Second float64
	Value  float64
}

// A Series holds the curves computed from log lines.
type Series struct {
	// JobsAccepted, RequestsRefused, TasksStarted and TasksEnded count log lines, with
	// one point per second.
	JobsAccepted    []Point
	RequestsRefused []Point
	TasksStarted    []Point
	TasksEnded      []Point
	// StagesWaiting, StagesLate and CoresUsed are reported by the leader: the number of
	// waiting stages, how many of those can no longer meet their objective, and the
	// number of cores in use.
	StagesWaiting []Point
	StagesLate    []Point
	CoresUsed     []Point
	// Away is the number of hosts that cannot reach the store.
	Away []Point
	// LeaderChanges holds the times at which a host became leader, in seconds since
	// the first log line.
	LeaderChanges []float64
}

// lineCounters maps the messages that are counted to their curves.
var lineCounters = map[string]func(*Series) *[]Point{
	"job accepted":    func(s *Series) *[]Point { return &s.JobsAccepted },
	"request refused": func(s *Series) *[]Point { return &s.RequestsRefused },
	"task started":    func(s *Series) *[]Point { return &s.TasksStarted },
	"task ended":      func(s *Series) *[]Point { return &s.TasksEnded },
}

// NewSeries computes the series of lines, which may be in any order.
func NewSeries(lines []logstory.Line) Series {
	var s Series
	if len(lines) == 0 {
		return s
	}
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b logstory.Line) int { return a.Time.Compare(b.Time) })
	start := lines[0].Time
	since := func(t time.Time) float64 { return t.Sub(start).Seconds() }
	last := int(since(lines[len(lines)-1].Time))
	counts := map[string][]int{}
	for m := range lineCounters {
		counts[m] = make([]int, last+1)
	}
	storeUnreachable := map[string]bool{}
	for _, l := range lines {
		at := since(l.Time)
		if c := counts[l.Message]; c != nil {
			c[int(at)]++
		}
		switch l.Message {
		case "load of the cell":
			s.StagesWaiting = append(s.StagesWaiting, point(at, number(l, "stages_wait")))
			s.StagesLate = append(s.StagesLate, point(at, number(l, "stages_late")))
			s.CoresUsed = append(s.CoresUsed, point(at, number(l, "cores_used")))
		case "this host leads":
			s.LeaderChanges = append(s.LeaderChanges, at)
		case "store not reachable", "store reachable", "host started":
			storeUnreachable[l.Host] = l.Message == "store not reachable"
			s.Away = append(s.Away, point(at, countTrue(storeUnreachable)))
		}
	}
	for m, c := range counts {
		p := lineCounters[m](&s)
		for second, n := range c {
			*p = append(*p, point(float64(second), float64(n)))
		}
	}
	return s
}

func point(second, value float64) Point {
	return Point{
		Second: second,
		Value:  value,
	}
}

func number(l logstory.Line, field string) float64 {
	n, _ := l.Fields[field].(float64)
	return n
}

func countTrue(m map[string]bool) float64 {
	n := 0.0
	for b := range maps.Values(m) {
		if b {
			n++
		}
	}
	return n
}
