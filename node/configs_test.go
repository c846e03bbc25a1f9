package node_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/node"
)

// A host that has been behind for longer than the feed comes first fetches what
// others offer, also while a newer version is told of every few hundred
// milliseconds.
func TestOffersThatFollowEachOtherBecomeDue(t *testing.T) {
	c := node.NewConfigs()
	begun := time.Now()
	now := begun
	for v := spoolsill.Version(1); now.Sub(begun) < 10*node.FeedFirst; v++ {
		c.Offer(v, 10*node.PieceBytes, now)
		now = now.Add(node.FeedFirst * 4 / 5)
	}
	qt.Assert(t, c.Due(now), qt.IsTrue)
}

// What the store told last can't be read: a host that then fetches the version
// before it from another host still does not know all routes.
func TestFetchedConfigurationDoesNotHideOneThatCannotBeRead(t *testing.T) {
	c := node.NewConfigs()
	now := time.Now()
	c.Set(1, now)
	c.Misread()   // version 3, by the feed
	c.Set(2, now) // from another host
	c.Hear(now)   // the feed's next answer tells of no change
	qt.Assert(t, c.Heard(now), qt.IsFalse)
}

// Most of a version has come when its host goes away: a host that has only an
// older one does not make it begin anew.
func TestOlderPieceDoesNotDiscardANewerPart(t *testing.T) {
	var p node.PartialConfig
	p.Take(9, 3*node.PieceBytes, 2*node.PieceBytes)
	p.Take(8, 3*node.PieceBytes, node.PieceBytes)
	qt.Assert(t, p.Version(), qt.Equals, spoolsill.Version(9))
}
