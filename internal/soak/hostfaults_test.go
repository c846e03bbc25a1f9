package soak_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/internal/soak"
)

// A host that lacks a configuration violates a guarantee only configTime after the
// acknowledgement and after its last fault.
func TestCheckerFindsMissingConfigurations(t *testing.T) {
	const (
		host   = "host0"
		soon   = soak.ConfigTime - time.Millisecond
		late   = soak.ConfigTime + time.Millisecond
		middle = soak.ConfigTime / 2
	)
	tests := map[string]struct {
		broken int
		play   func(j *soak.Checker, acked time.Time)
	}{
		"in time": {0, func(j *soak.Checker, acked time.Time) {
			j.ConfigMissing(host, 1, acked.Add(soon))
		}},
		"late": {1, func(j *soak.Checker, acked time.Time) {
			j.ConfigMissing(host, 1, acked.Add(late))
		}},
		"found twice": {1, func(j *soak.Checker, acked time.Time) {
			j.ConfigMissing(host, 1, acked.Add(late))
			j.ConfigMissing(host, 1, acked.Add(2*late))
		}},
		"two versions": {2, func(j *soak.Checker, acked time.Time) {
			j.ConfigAcked(2, acked.Add(time.Second))
			j.ConfigMissing(host, 1, acked.Add(late))
			j.ConfigMissing(host, 2, acked.Add(2*late))
		}},
		"while it is harmed": {0, func(j *soak.Checker, acked time.Time) {
			j.FaultBegins(host)
			j.ConfigMissing(host, 1, acked.Add(late))
		}},
		"while one of two harms goes on": {0, func(j *soak.Checker, acked time.Time) {
			j.FaultBegins(host)
			j.FaultBegins(host)
			j.FaultEnds(host, acked)
			j.ConfigMissing(host, 1, acked.Add(late))
		}},
		"soon after a harm": {0, func(j *soak.Checker, acked time.Time) {
			j.FaultBegins(host)
			j.FaultEnds(host, acked.Add(middle))
			j.ConfigMissing(host, 1, acked.Add(late))
		}},
		"long after a harm": {1, func(j *soak.Checker, acked time.Time) {
			j.FaultBegins(host)
			j.FaultEnds(host, acked.Add(middle))
			j.ConfigMissing(host, 1, acked.Add(middle+late))
		}},
		"another host is harmed": {1, func(j *soak.Checker, acked time.Time) {
			j.FaultBegins("host1")
			j.ConfigMissing(host, 1, acked.Add(late))
		}},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			j := soak.NewChecker()
			acked := time.Now()
			j.ConfigAcked(1, acked)
			x.play(j, acked)
			qt.Assert(t, j.Violations(), qt.HasLen, x.broken)
		})
	}
}
