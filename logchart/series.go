package logchart

import (
	"maps"
	"slices"
	"time"

	"github.com/spoolsill/spoolsill/logstory"
)

// Point is a value at a time, in seconds since the first line.
type Point struct {
	Second float64
	Value  float64
}

// Series is what the lines of a log add up to.
type Series struct {
	// Accepted, Refused, Started and Ended count lines, a point a second.
	Accepted []Point
	Refused  []Point
	Started  []Point
	Ended    []Point
	// Waiting and Late count the stages that wait, and Used the cores in use,
	// as the leader told.
	Waiting []Point
	Late    []Point
	Used    []Point
	// Away counts the hosts that do not reach the store.
	Away []Point
	// Leads are the seconds at which a host took the leadership over.
	Leads []float64
}

// counted are the messages that are counted, and where.
var counted = map[string]func(*Series) *[]Point{
	"job accepted":    func(s *Series) *[]Point { return &s.Accepted },
	"request refused": func(s *Series) *[]Point { return &s.Refused },
	"task started":    func(s *Series) *[]Point { return &s.Started },
	"task ended":      func(s *Series) *[]Point { return &s.Ended },
}

// Of returns the series of some lines, in any order.
func Of(lines []logstory.Line) Series {
	var s Series
	if len(lines) == 0 {
		return s
	}
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b logstory.Line) int { return a.Time.Compare(b.Time) })
	begin := lines[0].Time
	since := func(t time.Time) float64 { return t.Sub(begin).Seconds() }
	last := int(since(lines[len(lines)-1].Time))
	counts := map[string][]int{}
	for m := range counted {
		counts[m] = make([]int, last+1)
	}
	away := map[string]bool{}
	for _, l := range lines {
		at := since(l.Time)
		if c := counts[l.Message]; c != nil {
			c[int(at)]++
		}
		switch l.Message {
		case "load of the cell":
			s.Waiting = append(s.Waiting, point(at, number(l, "stages_wait")))
			s.Late = append(s.Late, point(at, number(l, "stages_late")))
			s.Used = append(s.Used, point(at, number(l, "cores_used")))
		case "this host leads":
			s.Leads = append(s.Leads, at)
		case "store not reachable", "store reachable", "host started":
			away[l.Host] = l.Message == "store not reachable"
			s.Away = append(s.Away, point(at, countTrue(away)))
		}
	}
	for m, c := range counts {
		p := counted[m](&s)
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
