package place

import (
	"fmt"
	"strings"
	"time"

	"github.com/spoolsill/spoolsill"
)

// ReasonCode is the kind of a [Reason].
type ReasonCode uint8

// The kinds of reasons.
const (
	ReasonNone ReasonCode = iota
	ReasonFits
	ReasonNoCapacity     // some worker is large enough, but none can take a task now
	ReasonTooLarge       // no worker is large enough
	ReasonGangTooLarge   // the empty hall can't hold all tasks of the gang at once
	ReasonQuota          // the team's quota is used up
	ReasonPreempting     // tasks are being preempted for it
	ReasonGangNoCapacity // not all tasks of the gang fit at once now
)

// A Reason explains the last decision on a job. It holds no text, so that it is
// cheap enough to be kept for every job. Counts are numbers of workers.
type Reason struct {
	Code        ReasonCode
	Worker      spoolsill.WorkerID
	Considered  int32
	Full        int32
	Quarantined int32
	Leaving     int32
	Silent      int32
	Avoided     int32
	Reserved    int32
	Have        spoolsill.Resources // capacity of the closest worker, or what is left of the quota
	At          time.Time           // when a gang with a reservation is expected to start
}

func (s *State) exclusionReason(t *task, counts *[exclusionCount]int) Reason {
	reason := Reason{
		Code:        ReasonNoCapacity,
		Considered:  int32(len(s.workerList) - counts[exclusionUnlisted]),
		Full:        int32(counts[exclusionCapacity]),
		Quarantined: int32(counts[exclusionQuarantine]),
		Leaving:     int32(counts[exclusionLeaving]),
		Silent:      int32(counts[exclusionUnresponsive]),
		Avoided:     int32(counts[exclusionAvoided]),
		Reserved:    int32(counts[exclusionReserved]),
	}
	if t.nominatedWorker != nil {
		reason.Code = ReasonPreempting
		reason.Worker = t.nominatedWorker.ID
	}
	return reason
}

// unschedulableReason returns why j can't run on the listed workers even if they
// are empty.
func (s *State) unschedulableReason(j *job) Reason {
	var best *worker
	for _, w := range s.workerList {
		if !w.listed {
			continue
		}
		if best == nil || j.spec.Shape.DominantShare(w.Capacity) < j.spec.Shape.DominantShare(best.Capacity) {
			best = w
		}
	}
	if best == nil {
		return Reason{
			Code: ReasonTooLarge,
		}
	}
	reason := Reason{
		Code:       ReasonTooLarge,
		Worker:     best.ID,
		Have:       best.Capacity,
		Considered: int32(len(s.workerList)),
	}
	if j.spec.Shape.FitsIn(best.Capacity) {
		reason.Code = ReasonGangTooLarge
	}
	return reason
}

// text returns the reason as a message about job j.
func (r Reason) text(j spoolsill.Job) string {
	switch r.Code {
	case ReasonNone:
		return "no decision yet"
	case ReasonFits:
		return fmt.Sprintf("fits worker %s", r.Worker)
	case ReasonTooLarge:
		return fmt.Sprintf("can never run: a task needs %s; %s", j.Shape, r.closestWorkerText(j.Shape))
	case ReasonGangTooLarge:
		return fmt.Sprintf("can never run: the hall can't hold %d tasks of %s at once, even empty", j.Tasks, j.Shape)
	case ReasonQuota:
		return fmt.Sprintf("the quota of team %s has %s left, a task needs %s; raise the quota or end other work of the team", j.Team, r.Have, j.Shape)
	case ReasonPreempting:
		return fmt.Sprintf("patient work on worker %s is being checkpointed for it", r.Worker)
	case ReasonGangNoCapacity:
		return fmt.Sprintf("not all %d tasks fit at once%s%s", j.Tasks, r.reservationText(), r.exclusionText())
	default:
		return fmt.Sprintf("no worker has room for %s now%s", j.Shape, r.exclusionText())
	}
}

func (r Reason) closestWorkerText(shape spoolsill.Resources) string {
	if r.Worker == "" {
		return "no worker is known"
	}
	return fmt.Sprintf("the nearest worker, %s, has %s in all (%s)", r.Worker, r.Have, missingResources(shape, r.Have))
}

func missingResources(need, have spoolsill.Resources) string {
	var m []string
	if need.Processors > have.Processors {
		m = append(m, "too few processors")
	}
	if need.Memory > have.Memory {
		m = append(m, "too little memory")
	}
	if need.Accelerators > have.Accelerators {
		m = append(m, "too few accelerators")
	}
	return strings.Join(m, ", ")
}

func (r Reason) reservationText() string {
	if r.At.IsZero() {
		return ""
	}
	return fmt.Sprintf("; workers are reserved, expected free at %s", r.At.UTC().Format(time.RFC3339))
}

func (r Reason) exclusionText() string {
	if r.Considered == 0 {
		return ""
	}
	parts := []string{fmt.Sprintf("%d workers considered", r.Considered)}
	add := func(n int32, what string) {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, what))
		}
	}
	add(r.Full, "full")
	add(r.Quarantined, "in quarantine")
	add(r.Leaving, "leaving")
	add(r.Silent, "silent")
	add(r.Avoided, "avoided since it failed there")
	add(r.Reserved, "reserved for a gang")
	return ": " + strings.Join(parts, ", ")
}
