package leader_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/spoolsill/spoolsill/internal/pause"
)

// oldFeeds takes in which feeds the log calls old.
type oldFeeds struct {
	mu     sync.Mutex
	tables map[any]int
}

// Levels implements [logrus.Hook].
func (o *oldFeeds) Levels() []logrus.Level {
	return []logrus.Level{logrus.WarnLevel}
}

// Fire implements [logrus.Hook].
func (o *oldFeeds) Fire(e *logrus.Entry) error {
	if e.Message != "feed is old" {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tables[e.Data["table"]]++
	return nil
}

func (o *oldFeeds) times(table string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tables[table]
}

// The log tells of a feed that a leader hears nothing from, also when no call of
// it ends, and not of others.
func TestLogTellsOfFeedsThatHang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t.Context(), t, 1)
		defer x.end()
		o := &oldFeeds{
			tables: map[any]int{},
		}
		x.logs = o
		x.lead("a")
		pause.For(x.ctx, 20*time.Second)
		x.c.Assert(o.tables, qt.HasLen, 0)
		x.store.SlowLists(workersTable, time.Minute)
		x.list("w0")
		x.store.Forget() // so that the table is listed anew
		pause.For(x.ctx, 20*time.Second)
		x.c.Check(o.times(workersTable) > 5, qt.IsTrue, qt.Commentf("told %d times", o.times(workersTable)))
		x.c.Check(o.times("jobs"), qt.Equals, 0)
		x.store.SlowLists(workersTable, 0)
		pause.For(x.ctx, time.Minute)
		told := o.times(workersTable)
		pause.For(x.ctx, 20*time.Second)
		x.c.Check(o.times(workersTable), qt.Equals, told)
	})
}
