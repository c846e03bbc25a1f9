package fault

import (
	"bytes"
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/spoolsill/spoolsill/settings"
)

// A Step is one failure of a schedule: what befalls whom, when and for how
// long. Which fields count depends on the kind.
type Step struct {
	Kind string `toml:"kind"`
	// At is when it begins, from when the cell has become ready.
	At settings.Duration `toml:"at"`
	// Duration is how long it takes to heal once it has come about.
	Duration settings.Duration `toml:"lasts"`
	// Hall is the number of a hall, Host of a host of the cell, Machine of a
	// worker or a runner.
	Hall    int `toml:"hall,omitempty"`
	Host    int `toml:"host,omitempty"`
	Machine int `toml:"machine,omitempty"`
	// Delay is what a slow platform adds to each answer.
	Delay settings.Duration `toml:"delay,omitempty"`
	// Answers is the number of answers that get lost.
	Answers int `toml:"answers,omitempty"`
}

// A Schedule is the failures of a sequence, in the order in which they begin.
type Schedule struct {
	Steps []Step `toml:"step"`
}

// The ranges from which the steps of a sequence are drawn.
const (
	minPause   = 200 * time.Millisecond // between two failures
	maxPause   = 4 * time.Second
	minLasts   = 300 * time.Millisecond
	maxLasts   = 9 * time.Second
	minDelay   = 50 * time.Millisecond
	maxDelay   = 900 * time.Millisecond
	maxAnswers = 6
)

// The sources of a sequence: each has a stream of its own, so that what one
// part draws, and when, changes nothing for another.
const (
	scheduleStream = 7 + iota
	operatorStream
	callerStream
	workStream
	runtimeStream
	moveStream
)

// RandomSchedule returns the schedule of a seed, with failures that begin within a time.
// It is the same in each play.
func RandomSchedule(seed uint64, within time.Duration) Schedule {
	r := rand.New(rand.NewPCG(seed, scheduleStream))
	var s Schedule
	for at := time.Duration(0); at < within; at += between(r, minPause, maxPause) {
		s.Steps = append(s.Steps, drawStep(r, at))
	}
	return s
}

// drawStep draws all fields of a step, whatever its kind, so that a new kind
// changes no other field.
func drawStep(r *rand.Rand, at time.Duration) Step {
	return Step{
		Kind:     drawn[r.IntN(len(drawn))],
		At:       settings.Duration(at),
		Duration: settings.Duration(between(r, minLasts, maxLasts)),
		Hall:     r.IntN(len(halls)),
		Host:     r.IntN(len(halls) * hosts),
		Machine:  r.IntN(workers * runners),
		Delay:    settings.Duration(between(r, minDelay, maxDelay)),
		Answers:  1 + r.IntN(maxAnswers),
	}
}

// between returns a random time, in whole milliseconds.
func between(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.IntN(max(1, int((high-low)/time.Millisecond))))*time.Millisecond
}

// Jitter returns s with each of its times moved by up to by, earlier or later,
// and each failure lasting a half to one and a half times as long. It is the
// same for the same seed.
func (s Schedule) Jitter(seed uint64, by time.Duration) Schedule {
	r := rand.New(rand.NewPCG(seed, moveStream))
	var out Schedule
	for _, x := range s.Steps {
		x.At = settings.Duration(max(0, time.Duration(x.At)+between(r, -by, by)))
		x.Duration = x.Duration/2 + settings.Duration(between(r, 0, time.Duration(x.Duration)))
		out.Steps = append(out.Steps, x)
	}
	out.sort()
	return out
}

func (s Schedule) sort() {
	slices.SortStableFunc(s.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
}

// ParseSchedule reads a schedule as [Schedule.String] writes it. Its error names what
// is wrong.
func ParseSchedule(b []byte) (Schedule, error) {
	var s Schedule
	d := toml.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return Schedule{}, fmt.Errorf("fault: schedule: %w", err)
	}
	for i, x := range s.Steps {
		if err := x.check(); err != nil {
			return Schedule{}, fmt.Errorf("fault: schedule: step %d: %w", i+1, err)
		}
	}
	s.sort()
	return s, nil
}

func (s Step) check() error {
	if _, ok := kinds[s.Kind]; !ok {
		return fmt.Errorf("kind %q is not known", s.Kind)
	}
	if s.At < 0 || s.Duration < 0 {
		return fmt.Errorf("at %s, lasts %s: want no negative time", time.Duration(s.At), time.Duration(s.Duration))
	}
	if s.Hall < 0 || s.Hall >= len(halls) || s.Host < 0 || s.Host >= len(halls)*hosts || s.Machine < 0 {
		return fmt.Errorf("hall %d, host %d, machine %d: there are %d halls and %d hosts", s.Hall, s.Host, s.Machine, len(halls), len(halls)*hosts)
	}
	return nil
}

// String returns s as TOML.
func (s Schedule) String() string {
	b, err := toml.Marshal(s)
	if err != nil {
		return err.Error()
	}
	return string(b)
}
