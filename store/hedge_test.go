package store_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/internal/cellfake"
	"github.com/spoolsill/spoolsill/store"
)

func insertRow(name string) store.Transaction {
	k := store.Key{
		Table:     table,
		Partition: "cell",
		Name:      name,
	}
	return store.Transaction{
		Conditions: []store.Condition{
			{
				Key: k,
			},
		},
		Puts: []store.Put{
			{
				Key:   k,
				Value: []byte("x"),
			},
		},
	}
}

var hedgePolicy = store.HedgePolicy{
	First: 150 * time.Millisecond,
	Max:   time.Second,
	Tries: 4,
}

// With a slow store the first attempt is not cancelled, and its response is the one that
// is returned.
func TestCommitHedgedSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := cellfake.NewStore()
		s.SetExtraLatency(800 * time.Millisecond)
		start := time.Now()
		r, took, err := store.CommitHedged(t.Context(), s, insertRow("a"), hedgePolicy)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Applied, qt.IsTrue)
		qt.Assert(t, took, qt.Equals, time.Since(start))
		qt.Assert(t, took < time.Second, qt.IsTrue)
		synctest.Wait()
	})
}

// If a response is lost, the conditions of the next attempt fail and show that the first
// one was applied. The returned duration is that of the next attempt only.
func TestCommitHedgedLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := cellfake.NewStore()
		var tries atomic.Int32
		s.SetFault(func(store.Transaction) cellfake.StoreFault {
			if tries.Add(1) == 1 {
				return cellfake.StoreLoseReply
			}
			return cellfake.StoreOK
		})
		r, took, err := store.CommitHedged(t.Context(), s, insertRow("a"), hedgePolicy)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Applied, qt.IsFalse)
		qt.Assert(t, string(r.Current[0].Value), qt.Equals, "x")
		qt.Assert(t, took < 50*time.Millisecond, qt.IsTrue)
	})
}

// The error is ErrRefused only if every attempt was refused.
func TestCommitHedgedErrors(t *testing.T) {
	for name, test := range map[string]struct {
		faults []cellfake.StoreFault
		want   error
	}{
		"refused":            {[]cellfake.StoreFault{cellfake.StoreRefuse}, store.ErrRefused},
		"broken":             {[]cellfake.StoreFault{cellfake.StoreReset}, store.ErrUnknownOutcome},
		"lost, then refused": {[]cellfake.StoreFault{cellfake.StoreLoseReply, cellfake.StoreRefuse, cellfake.StoreRefuse, cellfake.StoreRefuse}, store.ErrUnknownOutcome},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := cellfake.NewStore()
			var tries atomic.Int32
			s.SetFault(func(store.Transaction) cellfake.StoreFault {
				return test.faults[tries.Add(1)-1]
			})
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			_, _, err := store.CommitHedged(ctx, s, insertRow("a"), hedgePolicy)
			qt.Assert(t, err, qt.ErrorIs, test.want, qt.Commentf("%s", name))
			qt.Assert(t, int(tries.Load()), qt.Equals, len(test.faults), qt.Commentf("%s", name))
		})
	}
}
