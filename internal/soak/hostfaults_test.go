package soak_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/internal/soak"
)

// A host that lacks a configuration violates an invariant only configTime after the
// acknowledgement and after its last fault.
func TestCheckerFindsMissingConfigurations(t *testing.T) {
	const (
		host   = "host0"
		soon   = soak.ConfigTime - time.Millisecond
		late   = soak.ConfigTime + time.Millisecond
		middle = soak.ConfigTime / 2
	)
	tests := map[string]struct {
		violations int
		record     func(c *soak.Checker, acked time.Time)
	}{
		"in time": {0, func(c *soak.Checker, acked time.Time) {
			c.ConfigMissing(host, 1, acked.Add(soon))
		}},
		"late": {1, func(c *soak.Checker, acked time.Time) {
			c.ConfigMissing(host, 1, acked.Add(late))
		}},
		"found twice": {1, func(c *soak.Checker, acked time.Time) {
			c.ConfigMissing(host, 1, acked.Add(late))
			c.ConfigMissing(host, 1, acked.Add(2*late))
		}},
		"two versions": {2, func(c *soak.Checker, acked time.Time) {
			c.ConfigAcked(2, acked.Add(time.Second))
			c.ConfigMissing(host, 1, acked.Add(late))
			c.ConfigMissing(host, 2, acked.Add(2*late))
		}},
		"during a fault": {0, func(c *soak.Checker, acked time.Time) {
			c.FaultBegins(host)
			c.ConfigMissing(host, 1, acked.Add(late))
		}},
		"during one of two faults": {0, func(c *soak.Checker, acked time.Time) {
			c.FaultBegins(host)
			c.FaultBegins(host)
			c.FaultEnds(host, acked)
			c.ConfigMissing(host, 1, acked.Add(late))
		}},
		"soon after a fault": {0, func(c *soak.Checker, acked time.Time) {
			c.FaultBegins(host)
			c.FaultEnds(host, acked.Add(middle))
			c.ConfigMissing(host, 1, acked.Add(late))
		}},
		"long after a fault": {1, func(c *soak.Checker, acked time.Time) {
			c.FaultBegins(host)
			c.FaultEnds(host, acked.Add(middle))
			c.ConfigMissing(host, 1, acked.Add(middle+late))
		}},
		"fault of another host": {1, func(c *soak.Checker, acked time.Time) {
			c.FaultBegins("host1")
			c.ConfigMissing(host, 1, acked.Add(late))
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := soak.NewChecker()
			acked := time.Now()
			c.ConfigAcked(1, acked)
			tt.record(c, acked)
			qt.Assert(t, c.Violations(), qt.HasLen, tt.violations)
		})
	}
}
