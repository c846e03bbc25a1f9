package place

import (
	"math"
	"time"

	"github.com/spoolsill/spoolsill"
)

// RuntimeRatios counts actual run times against declared ones, in buckets of half a
// power of two around 1. It is 34 bytes, kept for each team and kind of job.
type RuntimeRatios [ratioBuckets]uint16

const (
	ratioBuckets = 17
	ratioMiddle  = 8
	ratioLimit   = 1000 // counts are halved when one passes it
)

// Quantiles of run times, in thousandths.
const (
	half   = 500
	mostly = 900
)

// defaultRuntime is assumed of work that declares no run time.
const defaultRuntime = 10 * time.Minute

type learntKey struct {
	team spoolsill.TeamID
	kind spoolsill.Kind
}

// learnt maps a team and kind of job to what its run times were like.
type learnt map[learntKey]*RuntimeRatios

func keyOf(j *spoolsill.Job) learntKey {
	return learntKey{
		team: j.Team,
		kind: j.Kind,
	}
}

func (l learnt) set(t spoolsill.TeamID, k spoolsill.Kind, r *RuntimeRatios) {
	if r == nil {
		return
	}
	c := *r
	l[learntKey{
		team: t,
		kind: k,
	}] = &c
}

// add counts one run time.
func (l learnt) add(j *spoolsill.Job, took time.Duration) {
	if j.Runtime <= 0 || took <= 0 {
		return
	}
	r, ok := l[keyOf(j)]
	if !ok {
		r = &RuntimeRatios{}
		l[keyOf(j)] = r
	}
	b := ratioMiddle + int(math.Round(2*math.Log2(float64(took)/float64(j.Runtime))))
	b = min(max(b, 0), ratioBuckets-1)
	r[b]++
	if r[b] > ratioLimit {
		r.halve()
	}
}

func (r *RuntimeRatios) halve() {
	for i := range r {
		r[i] /= 2
	}
}

// quantile returns the ratio that perMille of the counted runs stayed below,
// or 1 when none was counted.
func (r *RuntimeRatios) quantile(perMille int) float64 {
	total := 0
	for _, n := range r {
		total += int(n)
	}
	if total == 0 {
		return 1
	}
	seen := 0
	for i, n := range r {
		seen += int(n)
		if seen*1000 >= total*perMille {
			return math.Exp2(float64(i-ratioMiddle) / 2)
		}
	}
	return 1
}

// runtime returns the run time of a task of j that perMille of like tasks
// stay below.
func (l learnt) runtime(j *spoolsill.Job, perMille int) time.Duration {
	d := j.Runtime
	if d <= 0 {
		d = defaultRuntime
	}
	r, ok := l[keyOf(j)]
	if !ok {
		return d
	}
	return time.Duration(float64(d) * r.quantile(perMille))
}
