package intent

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/place"
)

// ErrInvalidIntent is returned for an intent that fails validation.
var ErrInvalidIntent = errors.New("intent: not accepted")

// MaxCancelJobs is the maximum number of jobs that one intent cancels.
const MaxCancelJobs = 20_000

// An Intent is a change that an operator requests. Exactly one field is set.
type Intent struct {
	Submit *spoolsill.Job     `msgpack:"s,omitempty"`
	Cancel []spoolsill.JobID  `msgpack:"c,omitempty"`
	Drain  spoolsill.WorkerID `msgpack:"d,omitempty"`
}

// Validate returns an error that wraps [ErrInvalidIntent] if i is invalid. For a
// job, the error lists every invalid field.
func (i Intent) Validate() error {
	n := 0
	if i.Submit != nil {
		n++
	}
	if len(i.Cancel) > 0 {
		n++
	}
	if i.Drain != "" {
		n++
	}
	if n != 1 {
		return fmt.Errorf("%w: want one of submit, cancel and drain, got %d", ErrInvalidIntent, n)
	}
	if len(i.Cancel) > MaxCancelJobs {
		return fmt.Errorf("%w: cancel: %d jobs, at most %d", ErrInvalidIntent, len(i.Cancel), MaxCancelJobs)
	}
	if i.Submit == nil {
		return nil
	}
	var problems []string
	for _, f := range i.Submit.Validate() {
		problems = append(problems, f.Error())
	}
	if len(problems) == 0 {
		return nil
	}
	return fmt.Errorf("%w: %s", ErrInvalidIntent, strings.Join(problems, "; "))
}

// Plan returns the changes that i would make to the state of a hall. It does
// not modify the state.
func (i Intent) Plan(s *place.State, now time.Time) (place.Plan, error) {
	switch {
	case i.Submit != nil:
		return s.PlanSubmit(now, *i.Submit)
	case len(i.Cancel) > 0:
		return s.PlanCancel(now, i.Cancel)
	default:
		return s.PlanDrain(now, i.Drain)
	}
}
