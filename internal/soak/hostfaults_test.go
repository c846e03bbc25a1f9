package soak_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/internal/soak"
)

// A host that lacks a configuration violates a guarantee only configTime after the
// acknowledgement and after its last fault.
func TestJudgeFindsHostsThatMissAConfiguration(t *testing.T) {
	const (
		host   = "host0"
		soon   = soak.ConfigTime - time.Millisecond
		late   = soak.ConfigTime + time.Millisecond
		middle = soak.ConfigTime / 2
	)
	tests := map[string]struct {
		broken int
		play   func(j *soak.Judge, acked time.Time)
	}{
		"in time": {0, func(j *soak.Judge, acked time.Time) {
			j.Misses(host, 1, acked.Add(soon))
		}},
		"late": {1, func(j *soak.Judge, acked time.Time) {
			j.Misses(host, 1, acked.Add(late))
		}},
		"found twice": {1, func(j *soak.Judge, acked time.Time) {
			j.Misses(host, 1, acked.Add(late))
			j.Misses(host, 1, acked.Add(2*late))
		}},
		"two versions": {2, func(j *soak.Judge, acked time.Time) {
			j.Configured(2, acked.Add(time.Second))
			j.Misses(host, 1, acked.Add(late))
			j.Misses(host, 2, acked.Add(2*late))
		}},
		"while it is harmed": {0, func(j *soak.Judge, acked time.Time) {
			j.HarmBegins(host)
			j.Misses(host, 1, acked.Add(late))
		}},
		"while one of two harms goes on": {0, func(j *soak.Judge, acked time.Time) {
			j.HarmBegins(host)
			j.HarmBegins(host)
			j.HarmEnds(host, acked)
			j.Misses(host, 1, acked.Add(late))
		}},
		"soon after a harm": {0, func(j *soak.Judge, acked time.Time) {
			j.HarmBegins(host)
			j.HarmEnds(host, acked.Add(middle))
			j.Misses(host, 1, acked.Add(late))
		}},
		"long after a harm": {1, func(j *soak.Judge, acked time.Time) {
			j.HarmBegins(host)
			j.HarmEnds(host, acked.Add(middle))
			j.Misses(host, 1, acked.Add(middle+late))
		}},
		"another host is harmed": {1, func(j *soak.Judge, acked time.Time) {
			j.HarmBegins("host1")
			j.Misses(host, 1, acked.Add(late))
		}},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			j := soak.NewJudge()
			acked := time.Now()
			j.Configured(1, acked)
			x.play(j, acked)
			qt.Assert(t, j.Broken(), qt.HasLen, x.broken)
		})
	}
}
