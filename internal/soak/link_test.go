package soak_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/internal/soak"
)

// Connections share the rate of a link in each direction; the two directions are independent.
func TestLinkIsSharedByItsConnections(t *testing.T) {
	const (
		pieces    = 6
		pieceRate = 8 * soak.PieceBytes // bits per second
	)
	tests := map[string]struct {
		back [2]bool // for each of two connections
		want time.Duration
	}{
		// The first piece of a direction does not wait.
		"one direction":  {[2]bool{false, false}, (2*pieces - 1) * time.Second},
		"two directions": {[2]bool{false, true}, (pieces - 1) * time.Second},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := soak.Path{
					Caller: soak.NewLink(pieceRate),
				}
				begun := time.Now()
				var wg sync.WaitGroup
				for _, back := range x.back {
					wg.Go(func() {
						for range pieces {
							qt.Check(t, p.Carry(t.Context(), soak.PieceBytes, back), qt.IsTrue)
						}
					})
				}
				wg.Wait()
				qt.Assert(t, time.Since(begun).Round(time.Millisecond), qt.Equals, x.want)
			})
		})
	}
}

func TestPathIsAsFastAsItsSlowerLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := soak.Path{
			Caller: soak.NewLink(100 * 8 * soak.PieceBytes),
			Target: soak.NewLink(8 * soak.PieceBytes),
		}
		begun := time.Now()
		for range 3 {
			qt.Assert(t, p.Carry(t.Context(), soak.PieceBytes, false), qt.IsTrue)
		}
		qt.Assert(t, time.Since(begun).Round(time.Millisecond), qt.Equals, 2*time.Second)
	})
}
