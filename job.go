package spoolsill

import (
	"fmt"
	"regexp"
	"time"
)

// Kind is the scheduling policy of a job.
type Kind string

// The kinds of jobs.
const (
	KindService Kind = "service" // long-running, spread over racks, kept running
	KindBatch   Kind = "batch"   // packed, with fair shares between teams
	KindGang    Kind = "gang"    // all tasks start together or not at all
)

// Class is the priority class of a job or request. Lower values go first.
type Class int

// The priority classes.
const (
	ClassUrgent  Class = iota // starts within seconds; may preempt ClassPatient
	ClassNormal               // the default
	ClassPatient              // keeps its worth while it waits; may be preempted
)

var classNames = [...]string{"urgent", "normal", "patient"}

// String returns the class as it is written in job files.
func (c Class) String() string {
	if c < 0 || int(c) >= len(classNames) {
		return fmt.Sprintf("class(%d)", int(c))
	}
	return classNames[c]
}

// MarshalText implements encoding.TextMarshaler.
func (c Class) MarshalText() ([]byte, error) {
	return []byte(c.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. The empty text is ClassNormal.
func (c *Class) UnmarshalText(b []byte) error {
	if len(b) == 0 {
		*c = ClassNormal
		return nil
	}
	for i, n := range classNames {
		if n == string(b) {
			*c = Class(i)
			return nil
		}
	}
	return fmt.Errorf("class %q: want urgent, normal or patient", b)
}

// Limits of one job.
const (
	MaxTasks   = 10_000
	MaxWorth   = 1_000_000
	MaxRuntime = 30 * 24 * time.Hour
)

// A Job is an operator's request to run a number of tasks of the same shape.
type Job struct {
	ID    JobID     `msgpack:"i"`
	Team  TeamID    `msgpack:"t"`
	Kind  Kind      `msgpack:"k"`
	Class Class     `msgpack:"c"`
	Tasks int       `msgpack:"n"`
	Shape Resources `msgpack:"s"`
	// Runtime is the declared run time of a task, which may be far off; 0 means
	// that none is declared. Services run until they are cancelled.
	Runtime time.Duration `msgpack:"r"`
	// Worth orders preemption within a class: the lowest is preempted first.
	Worth int `msgpack:"w"`
	// Unrepeatable tasks run at most once: they are never preempted, and never
	// restarted once they may have run.
	Unrepeatable bool `msgpack:"u"`
	// Command is passed to the worker unchanged.
	Command string `msgpack:"x"`
}

// A FieldError reports an invalid field and the allowed values.
type FieldError struct {
	Field   string
	Value   string
	Allowed string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %q is not allowed: want %s", e.Field, e.Value, e.Allowed)
}

var idPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,62})$`)

// Validate returns an error for each invalid field of j.
func (j Job) Validate() []*FieldError {
	var v validator
	v.check(idPattern.MatchString(string(j.ID)), "id", j.ID, "1 to 63 of a-z, 0-9 and -")
	v.check(idPattern.MatchString(string(j.Team)), "team", j.Team, "1 to 63 of a-z, 0-9 and -")
	v.check(j.Kind == KindService || j.Kind == KindBatch || j.Kind == KindGang, "kind", j.Kind, "service, batch or gang")
	v.check(j.Class >= ClassUrgent && j.Class <= ClassPatient, "class", j.Class, "urgent, normal or patient")
	v.check(j.Tasks >= 1 && j.Tasks <= MaxTasks, "tasks", j.Tasks, fmt.Sprintf("1 to %d", MaxTasks))
	v.check(j.Shape.Processors >= 1, "processors", int64(j.Shape.Processors), "at least 1 millicore")
	v.check(j.Shape.Memory >= 1, "memory", int64(j.Shape.Memory), "at least 1 byte")
	v.check(j.Shape.Accelerators >= 0, "accelerators", int64(j.Shape.Accelerators), "0 or more")
	v.check(j.Runtime >= 0 && j.Runtime <= MaxRuntime, "runtime", j.Runtime, "0s to 720h")
	v.check(j.Worth >= 0 && j.Worth <= MaxWorth, "worth", j.Worth, fmt.Sprintf("0 to %d", MaxWorth))
	v.check(!j.Unrepeatable || j.Kind != KindService, "unrepeatable", j.Unrepeatable, "false for a service: it is kept running")
	return v.errs
}

type validator struct {
	errs []*FieldError
}

func (v *validator) check(ok bool, field string, value any, allowed string) {
	if ok {
		return
	}
	v.errs = append(v.errs, &FieldError{
		Field:   field,
		Value:   fmt.Sprint(value),
		Allowed: allowed,
	})
}
