package place

import (
	"math"
	"time"

	"github.com/spoolsill/spoolsill"
)

// RuntimeRatios is a histogram of the ratio of actual to declared run times.
// Bucket boundaries grow by the square root of two, and the middle bucket is at
// ratio 1. It takes 34 bytes for each team and kind of job.
type RuntimeRatios [ratioBuckets]uint16

const (
	ratioBuckets  = 17
	ratioCenter   = 8
	maxRatioCount = 1000 // all counts are halved when one exceeds it
)

// Quantiles of run times, per mille.
const (
	medianPerMille = 500
	highPerMille   = 900
)

// defaultRuntime is assumed for jobs that declare no run time.
const defaultRuntime = 10 * time.Minute

type runtimeKey struct {
	team spoolsill.TeamID
	kind spoolsill.Kind
}

// runtimeStats holds the run time ratios of each team and kind of job.
type runtimeStats map[runtimeKey]*RuntimeRatios

func runtimeKeyOf(j *spoolsill.Job) runtimeKey {
	return runtimeKey{
		team: j.Team,
		kind: j.Kind,
	}
}

func (s runtimeStats) set(t spoolsill.TeamID, k spoolsill.Kind, r *RuntimeRatios) {
	if r == nil {
		return
	}
	c := *r
	s[runtimeKey{
		team: t,
		kind: k,
	}] = &c
}

// add counts the run time of one attempt.
func (s runtimeStats) add(j *spoolsill.Job, took time.Duration) {
	if j.Runtime <= 0 || took <= 0 {
		return
	}
	r, ok := s[runtimeKeyOf(j)]
	if !ok {
		r = &RuntimeRatios{}
		s[runtimeKeyOf(j)] = r
	}
	b := ratioCenter + int(math.Round(2*math.Log2(float64(took)/float64(j.Runtime))))
	b = min(max(b, 0), ratioBuckets-1)
	r[b]++
	if r[b] > maxRatioCount {
		r.halve()
	}
}

func (r *RuntimeRatios) halve() {
	for i := range r {
		r[i] /= 2
	}
}

// quantile returns the ratio at the given quantile of the counted run times, or
// 1 if none were counted.
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
			return math.Exp2(float64(i-ratioCenter) / 2)
		}
	}
	return 1
}

// runtimeQuantile returns the expected run time of a task of j at the given
// quantile: the declared run time scaled by the ratios of j's team and kind.
func (s runtimeStats) runtimeQuantile(j *spoolsill.Job, perMille int) time.Duration {
	d := j.Runtime
	if d <= 0 {
		d = defaultRuntime
	}
	r, ok := s[runtimeKeyOf(j)]
	if !ok {
		return d
	}
	return time.Duration(float64(d) * r.quantile(perMille))
}
