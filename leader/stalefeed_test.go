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

// A staleFeedLog counts the feeds that the log reports as stale.
type staleFeedLog struct {
	mu     sync.Mutex
	tables map[any]int
}

// Levels implements [logrus.Hook].
func (o *staleFeedLog) Levels() []logrus.Level {
	return []logrus.Level{logrus.WarnLevel}
}

// Fire implements [logrus.Hook].
func (o *staleFeedLog) Fire(e *logrus.Entry) error {
	if e.Message != "feed is old" {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tables[e.Data["table"]]++
	return nil
}

func (o *staleFeedLog) count(table string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tables[table]
}

// The log reports feeds from which the leader receives nothing, also when their calls hang, and
// no others.
func TestStaleFeedsAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t.Context(), t, 1)
		defer x.end()
		o := &staleFeedLog{
			tables: map[any]int{},
		}
		x.logs = o
		x.lead("a")
		pause.For(x.ctx, 20*time.Second)
		x.c.Assert(o.tables, qt.HasLen, 0)
		x.store.SetListLatency(workersTable, time.Minute)
		x.list("w0")
		x.store.DropHistory() // makes the feed list the table again
		pause.For(x.ctx, 20*time.Second)
		x.c.Check(o.count(workersTable) > 5, qt.IsTrue, qt.Commentf("logged %d times", o.count(workersTable)))
		x.c.Check(o.count("jobs"), qt.Equals, 0)
		x.store.SetListLatency(workersTable, 0)
		pause.For(x.ctx, time.Minute)
		logged := o.count(workersTable)
		pause.For(x.ctx, 20*time.Second)
		x.c.Check(o.count(workersTable), qt.Equals, logged)
	})
}
