package node_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/node"
)

// In a cell of hundreds of hosts, the feeds of the configuration take a fraction of what the
// store can do, and in none does a host hear from the store less than three times within the
// time in which a configuration must be in force, unless that is short.
func TestConfigurationFeedsOfManyHostsShareTheStore(t *testing.T) {
	const usual = 700 * time.Millisecond
	for _, inForce := range []time.Duration{time.Second, 2 * time.Second, 5 * time.Second} {
		for _, hosts := range []int{1, 7, 30, 147, 301, 585, 1000, 2146} {
			w := node.ConfigFeedWaitFor(hosts, inForce)
			qt.Check(t, w >= usual && w <= max(usual, inForce/3), qt.IsTrue, qt.Commentf("%d hosts, %v: %v", hosts, inForce, w))
		}
	}
	qt.Check(t, node.ConfigFeedWaitFor(147, 5*time.Second), qt.Equals, usual)
	calls := 585 / node.ConfigFeedWaitFor(585, 5*time.Second).Seconds()
	qt.Check(t, calls < 400, qt.IsTrue, qt.Commentf("%.0f calls a second, 836 with the usual wait", calls))
}
