package soak_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/internal/soak"
)

// Connections share the rate of a link in each direction. The directions are independent.
func TestLinkIsSharedByItsConnections(t *testing.T) {
	const (
		chunks    = 6
		chunkRate = 8 * soak.ChunkBytes // bits per second
	)
	tests := map[string]struct {
		toCaller [2]bool // for each of two connections
		want     time.Duration
	}{
		// The first chunk of a direction does not wait.
		"one direction":  {[2]bool{false, false}, (2*chunks - 1) * time.Second},
		"two directions": {[2]bool{false, true}, (chunks - 1) * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := soak.Path{
					Caller: soak.NewLink(chunkRate),
				}
				start := time.Now()
				var wg sync.WaitGroup
				for _, toCaller := range tt.toCaller {
					wg.Go(func() {
						for range chunks {
							qt.Check(t, p.Transfer(t.Context(), soak.ChunkBytes, toCaller), qt.IsTrue)
						}
					})
				}
				wg.Wait()
				qt.Assert(t, time.Since(start).Round(time.Millisecond), qt.Equals, tt.want)
			})
		})
	}
}

func TestPathIsAsFastAsItsSlowerLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := soak.Path{
			Caller: soak.NewLink(100 * 8 * soak.ChunkBytes),
			Target: soak.NewLink(8 * soak.ChunkBytes),
		}
		start := time.Now()
		for range 3 {
			qt.Assert(t, p.Transfer(t.Context(), soak.ChunkBytes, false), qt.IsTrue)
		}
		qt.Assert(t, time.Since(start).Round(time.Millisecond), qt.Equals, 2*time.Second)
	})
}
