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

// A staleFeedCounter counts, by table, the log entries about stale feeds.
type staleFeedCounter struct {
	mu     sync.Mutex
	tables map[any]int
}

// Levels implements [logrus.Hook].
func (c *staleFeedCounter) Levels() []logrus.Level {
	return []logrus.Level{logrus.WarnLevel}
}

// Fire implements [logrus.Hook].
func (c *staleFeedCounter) Fire(e *logrus.Entry) error {
	if e.Message != "feed is old" {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tables[e.Data["table"]]++
	return nil
}

func (c *staleFeedCounter) count(table string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tables[table]
}

// The log reports feeds from which the leader receives nothing, also when their calls hang, and no
// other feeds.
func TestStaleFeedsAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t.Context(), t, 1)
		defer x.end()
		stale := &staleFeedCounter{
			tables: map[any]int{},
		}
		x.logs = stale
		x.lead("a")
		pause.For(x.ctx, 20*time.Second)
		x.c.Assert(stale.tables, qt.HasLen, 0)
		x.store.SetListLatency(workersTable, time.Minute)
		x.listWorker("w0")
		x.store.DropHistory() // makes the feed list the table again
		pause.For(x.ctx, 20*time.Second)
		x.c.Check(stale.count(workersTable) > 5, qt.IsTrue, qt.Commentf("logged %d times", stale.count(workersTable)))
		x.c.Check(stale.count("jobs"), qt.Equals, 0)
		x.store.SetListLatency(workersTable, 0)
		pause.For(x.ctx, time.Minute)
		logged := stale.count(workersTable)
		pause.For(x.ctx, 20*time.Second)
		x.c.Check(stale.count(workersTable), qt.Equals, logged)
	})
}
