package intent

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/place"
)

// ErrInvalidIntent is returned for an intent that can't be accepted.
var ErrInvalidIntent = errors.New("intent: not accepted")

// MaxCancelJobs is the largest number of jobs that one intent cancels.
const MaxCancelJobs = 20_000

// An Intent is what an operator wants. Exactly one field is set.
type Intent struct {
	Submit *spoolsill.Job     `msgpack:"s,omitempty"`
	Cancel []spoolsill.JobID  `msgpack:"c,omitempty"`
	Drain  spoolsill.WorkerID `msgpack:"d,omitempty"`
}

// Validate returns [ErrInvalidIntent] with every fault of i.
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
	var faults []string
	for _, f := range i.Submit.Validate() {
		faults = append(faults, f.Error())
	}
	if len(faults) == 0 {
		return nil
	}
	return fmt.Errorf("%w: %s", ErrInvalidIntent, strings.Join(faults, "; "))
}

// Plan returns what i would change in a hall. It changes nothing.
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
