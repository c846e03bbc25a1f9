package node_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/node"
)

// A host that has been behind for longer than the grace period of the feed must fetch
// what others offer, even while newer versions are offered every few hundred
// milliseconds.
func TestFrequentlyReplacedOffersBecomeDue(t *testing.T) {
	c := node.NewConfigTracker()
	begun := time.Now()
	now := begun
	for v := spoolsill.Version(1); now.Sub(begun) < 10*node.FeedGracePeriod; v++ {
		c.Offer(v, 10*node.PieceBytes, now)
		now = now.Add(node.FeedGracePeriod * 4 / 5)
	}
	qt.Assert(t, c.Due(now), qt.IsTrue)
}

// The last configuration from the store cannot be decoded. A host that then fetches the
// version before it from another host must still not claim to know all routes.
func TestFetchedConfigurationDoesNotHideInvalidOne(t *testing.T) {
	c := node.NewConfigTracker()
	now := time.Now()
	c.Set(1, now)
	c.SetFeedInvalid() // version 3, from the feed
	c.Set(2, now)      // from another host
	c.Confirm(now)     // the next response of the feed reports no change
	qt.Assert(t, c.Confirmed(now), qt.IsFalse)
}

// When a host goes away after most of its version has been received, a piece of an
// older version from another host must not discard that part.
func TestOlderPieceKeepsNewerPartialConfig(t *testing.T) {
	var p node.PartialConfig
	p.Add(9, 3*node.PieceBytes, 2*node.PieceBytes)
	p.Add(8, 3*node.PieceBytes, node.PieceBytes)
	qt.Assert(t, p.Version(), qt.Equals, spoolsill.Version(9))
}
