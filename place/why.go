package place

import (
	"fmt"
	"strings"
	"time"

	"github.com/spoolsill/spoolsill"
)

// WhyCode sorts the reasons of decisions.
type WhyCode uint8

// The reasons of decisions.
const (
	WhyNone WhyCode = iota
	WhyFits
	WhyNoRoom     // workers are large enough and full
	WhyTooLarge   // no worker is large enough
	WhyGangSize   // the hall is too small for all tasks of the gang at once
	WhyQuota      // the team's quota is used up
	WhyMakingRoom // patient work is being checkpointed for it
	WhyGangRoom   // not all tasks of the gang fit now
)

// A Why is the reason of the last decision on a job, cheap enough to be kept
// for every job. Counts are workers.
type Why struct {
	Code        WhyCode
	Worker      spoolsill.WorkerID
	Considered  int32
	Full        int32
	Quarantined int32
	Leaving     int32
	Silent      int32
	Avoided     int32
	Reserved    int32
	Have        spoolsill.Resources // the largest worker or what is left of the quota
	At          time.Time           // when a reservation is expected to start
}

func (s *State) whyNot(t *task, counts *[obstacles]int) Why {
	w := Why{
		Code:        WhyNoRoom,
		Considered:  int32(len(s.order) - counts[obstacleGone]),
		Full:        int32(counts[obstacleRoom]),
		Quarantined: int32(counts[obstacleQuarantine]),
		Leaving:     int32(counts[obstacleLeaving]),
		Silent:      int32(counts[obstacleSilent]),
		Avoided:     int32(counts[obstacleAvoided]),
		Reserved:    int32(counts[obstacleReserved]),
	}
	if t.target != nil {
		w.Code = WhyMakingRoom
		w.Worker = t.target.ID
	}
	return w
}

// largestMiss tells why j can never run on the listed workers.
func (s *State) largestMiss(j *job) Why {
	var best *worker
	for _, w := range s.order {
		if !w.known {
			continue
		}
		if best == nil || j.spec.Shape.DominantShare(w.Capacity) < j.spec.Shape.DominantShare(best.Capacity) {
			best = w
		}
	}
	if best == nil {
		return Why{
			Code: WhyTooLarge,
		}
	}
	y := Why{
		Code:       WhyTooLarge,
		Worker:     best.ID,
		Have:       best.Capacity,
		Considered: int32(len(s.order)),
	}
	if j.spec.Shape.FitsIn(best.Capacity) {
		y.Code = WhyGangSize
	}
	return y
}

// text returns the reason in words, for a job.
func (y Why) text(j spoolsill.Job) string {
	switch y.Code {
	case WhyNone:
		return "no decision yet"
	case WhyFits:
		return fmt.Sprintf("fits worker %s", y.Worker)
	case WhyTooLarge:
		return fmt.Sprintf("can never run: a task needs %s; %s", j.Shape, y.largest(j.Shape))
	case WhyGangSize:
		return fmt.Sprintf("can never run: the hall can't hold %d tasks of %s at once, even empty", j.Tasks, j.Shape)
	case WhyQuota:
		return fmt.Sprintf("the quota of team %s has %s left, a task needs %s; raise the quota or end other work of the team", j.Team, y.Have, j.Shape)
	case WhyMakingRoom:
		return fmt.Sprintf("patient work on worker %s is being checkpointed for it", y.Worker)
	case WhyGangRoom:
		return fmt.Sprintf("not all %d tasks fit at once%s%s", j.Tasks, y.reservation(), y.ruledOut())
	default:
		return fmt.Sprintf("no worker has room for %s now%s", j.Shape, y.ruledOut())
	}
}

func (y Why) largest(shape spoolsill.Resources) string {
	if y.Worker == "" {
		return "no worker is known"
	}
	return fmt.Sprintf("the nearest worker, %s, has %s in all (%s)", y.Worker, y.Have, missing(shape, y.Have))
}

func missing(need, have spoolsill.Resources) string {
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

func (y Why) reservation() string {
	if y.At.IsZero() {
		return ""
	}
	return fmt.Sprintf("; workers are reserved, expected free at %s", y.At.UTC().Format(time.RFC3339))
}

func (y Why) ruledOut() string {
	if y.Considered == 0 {
		return ""
	}
	parts := []string{fmt.Sprintf("%d workers considered", y.Considered)}
	add := func(n int32, what string) {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, what))
		}
	}
	add(y.Full, "full")
	add(y.Quarantined, "in quarantine")
	add(y.Leaving, "leaving")
	add(y.Silent, "silent")
	add(y.Avoided, "avoided since it failed there")
	add(y.Reserved, "reserved for a gang")
	return ": " + strings.Join(parts, ", ")
}
