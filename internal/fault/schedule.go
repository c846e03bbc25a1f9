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

// A Step is one failure of a schedule: its kind, target, start and duration. The
// kind determines which of the fields are used.
type Step struct {
	Kind string `toml:"kind"`
	// At is the start, relative to the time at which the cell became ready.
	At settings.Duration `toml:"at"`
	// Duration is the time from the injection to the end of the failure.
	Duration settings.Duration `toml:"lasts"`
	// Hall is the index of a hall, Host the index of a host in the cell, and
	// Machine the index of a worker or runner, modulo their number.
	Hall    int `toml:"hall,omitempty"`
	Host    int `toml:"host,omitempty"`
	Machine int `toml:"machine,omitempty"`
	// Delay is the latency that a slow platform adds to each response.
	Delay settings.Duration `toml:"delay,omitempty"`
	// Answers is the number of responses of the platform that are lost.
	Answers int `toml:"answers,omitempty"`
}

// A Schedule is the list of failures of a run, ordered by start.
type Schedule struct {
	Steps []Step `toml:"step"`
}

// The ranges of the random values in a schedule.
const (
	minInterval = 200 * time.Millisecond // between the starts of two failures
	maxInterval = 4 * time.Second
	minDuration = 300 * time.Millisecond
	maxDuration = 9 * time.Second
	minDelay    = 50 * time.Millisecond
	maxDelay    = 900 * time.Millisecond
	maxAnswers  = 6
)

// The PCG streams of a run. Each component has a stream of its own, so that its
// draws do not affect the values of another.
const (
	scheduleStream = 7 + iota
	operatorStream
	callerStream
	workStream
	runtimeStream
	jitterStream
)

// RandomSchedule returns a schedule whose failures start within the given time.
// The result depends only on the arguments.
func RandomSchedule(seed uint64, within time.Duration) Schedule {
	r := rand.New(rand.NewPCG(seed, scheduleStream))
	var s Schedule
	for at := time.Duration(0); at < within; at += randomDuration(r, minInterval, maxInterval) {
		s.Steps = append(s.Steps, randomStep(r, at))
	}
	return s
}

// randomStep draws all fields of a step whatever its kind, so that adding a
// kind does not change the other fields of a schedule.
func randomStep(r *rand.Rand, at time.Duration) Step {
	return Step{
		Kind:     kindNames[r.IntN(len(kindNames))],
		At:       settings.Duration(at),
		Duration: settings.Duration(randomDuration(r, minDuration, maxDuration)),
		Hall:     r.IntN(len(halls)),
		Host:     r.IntN(len(halls) * hostsPerHall),
		Machine:  r.IntN(workerCount * runnerCount),
		Delay:    settings.Duration(randomDuration(r, minDelay, maxDelay)),
		Answers:  1 + r.IntN(maxAnswers),
	}
}

// randomDuration returns a random duration of at least low and less than high, in
// steps of one millisecond. It returns low if the range is empty.
func randomDuration(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.IntN(max(1, int((high-low)/time.Millisecond))))*time.Millisecond
}

// Jitter returns a copy of s with each start moved by up to by, earlier or later,
// and each duration scaled by a factor between 0.5 and 1.5. The result depends
// only on s and the arguments.
func (s Schedule) Jitter(seed uint64, by time.Duration) Schedule {
	r := rand.New(rand.NewPCG(seed, jitterStream))
	var out Schedule
	for _, step := range s.Steps {
		step.At = settings.Duration(max(0, time.Duration(step.At)+randomDuration(r, -by, by)))
		step.Duration = step.Duration/2 + settings.Duration(randomDuration(r, 0, time.Duration(step.Duration)))
		out.Steps = append(out.Steps, step)
	}
	out.sort()
	return out
}

func (s Schedule) sort() {
	slices.SortStableFunc(s.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
}

// ParseSchedule parses a schedule in the format of [Schedule.String]. The error
// says what is invalid.
func ParseSchedule(b []byte) (Schedule, error) {
	var s Schedule
	d := toml.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return Schedule{}, fmt.Errorf("fault: schedule: %w", err)
	}
	for i, step := range s.Steps {
		if err := step.validate(); err != nil {
			return Schedule{}, fmt.Errorf("fault: schedule: step %d: %w", i+1, err)
		}
	}
	s.sort()
	return s, nil
}

func (s Step) validate() error {
	if _, ok := injectors[s.Kind]; !ok {
		return fmt.Errorf("kind %q is not known", s.Kind)
	}
	if s.At < 0 || s.Duration < 0 {
		return fmt.Errorf("at %s, lasts %s: want no negative time", time.Duration(s.At), time.Duration(s.Duration))
	}
	if s.Hall < 0 || s.Hall >= len(halls) || s.Host < 0 || s.Host >= len(halls)*hostsPerHall || s.Machine < 0 {
		return fmt.Errorf("hall %d, host %d, machine %d: there are %d halls and %d hosts", s.Hall, s.Host, s.Machine, len(halls), len(halls)*hostsPerHall)
	}
	return nil
}

// String returns s encoded as TOML.
func (s Schedule) String() string {
	b, err := toml.Marshal(s)
	if err != nil {
		return err.Error()
	}
	return string(b)
}
