package node

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
)

// A host that has been behind for longer than the feed comes first fetches what
// others offer, also while a newer version is told of every few hundred
// milliseconds.
func TestOffersThatFollowEachOtherBecomeDue(t *testing.T) {
	c := newConfigs()
	begun := time.Now()
	now := begun
	for v := spoolsill.Version(1); now.Sub(begun) < 10*feedFirst; v++ {
		c.offeredBy("other", heldConfig{
			Version: v,
			Size:    10 * pieceBytes,
		}, now)
		now = now.Add(feedFirst * 4 / 5)
	}
	_, due, ok := c.wanted(now)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, due, qt.IsTrue)
}

// What the store told last can't be read: a host that then fetches the version
// before it from another host still does not know all routes.
func TestFetchedConfigurationDoesNotHideOneThatCannotBeRead(t *testing.T) {
	c := newConfigs()
	now := time.Now()
	c.set(knownConfig{
		version: 1,
	}, now)
	c.misreads() // version 3, by the feed
	c.set(knownConfig{
		version: 2, // from another host
	}, now)
	c.hear(now) // the feed's next answer tells of no change
	_, heard := c.age(now)
	qt.Assert(t, heard, qt.IsFalse)
}

// Most of a version has come when its host goes away: a host that has only an
// older one does not make it begin anew.
func TestOlderPieceDoesNotDiscardANewerPart(t *testing.T) {
	p := partialConfig{}
	qt.Assert(t, p.take(pieceReply{
		Version: 9,
		Size:    3 * pieceBytes,
		Data:    make([]byte, 2*pieceBytes),
	}), qt.IsTrue)
	p.take(pieceReply{
		Version: 8,
		Size:    3 * pieceBytes,
		Data:    make([]byte, pieceBytes),
	})
	qt.Assert(t, p.version, qt.Equals, spoolsill.Version(9))
}
