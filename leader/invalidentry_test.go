package leader_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/sched"
	"github.com/spoolsill/spoolsill/store"
)

// Another writer repeatedly stores undecodable rows among the worker entries, under unknown names
// and in place of a worker's entry. Work continues, each name is logged once, and the count falls
// when the rows are deleted or replaced.
func TestInvalidWorkerEntriesAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t.Context(), t, 2)
		defer x.end()
		logs := &test.Hook{}
		x.logs = logs
		l := x.lead("a")
		pause.For(x.ctx, time.Second)
		invalid := []spoolsill.WorkerID{"strange0", "strange1", "w1"}
		for range 10 {
			for _, id := range invalid {
				x.store.Put(store.Put{
					Key:   workerKey(id),
					Value: []byte("\x00\xff"),
				})
			}
			pause.For(x.ctx, 500*time.Millisecond)
		}
		x.submit(sched.Job{
			ID:    "j",
			Queue: "plain",
			Steps: []sched.Step{step(2, 1)},
		})
		pause.For(x.ctx, 3*time.Second)
		x.assertCompleted(l, []spoolsill.JobID{"j"})
		x.c.Check(l.InvalidWorkerEntries(), qt.Equals, int64(len(invalid)))
		x.c.Check(countMessages(logs, "worker's entry can't be understood"), qt.Equals, len(invalid))
		x.listWorker("w1")
		x.store.Delete(workerKey("strange0"))
		pause.For(x.ctx, time.Second)
		x.c.Check(l.InvalidWorkerEntries(), qt.Equals, int64(1))
		x.c.Check(x.workers.Violations(), qt.HasLen, 0)
	})
}

func countMessages(h *test.Hook, msg string) int {
	n := 0
	for _, e := range h.AllEntries() {
		if e.Level <= logrus.InfoLevel && e.Message == msg {
			n++
		}
	}
	return n
}

// Guards against a row in a partition of the workers table that is taken for the entry of the worker
// with the same id.
func TestRowInPartitionOfWorkersTableIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t.Context(), t, 1)
		defer x.end()
		odd := workerKey("w0")
		odd.Partition = "other"
		x.store.Put(store.Put{
			Key:   odd,
			Value: []byte("{"),
		})
		l := x.lead("a")
		pause.For(x.ctx, time.Second)
		x.store.Put(store.Put{
			Key:   odd,
			Value: []byte(`{"ID":"w0","Service":"elsewhere"}`),
		})
		pause.For(x.ctx, time.Second)
		x.store.Delete(odd)
		pause.For(x.ctx, time.Second)
		x.submit(sched.Job{
			ID:    "j",
			Queue: "plain",
			Steps: []sched.Step{step(1, 1)},
		})
		pause.For(x.ctx, 3*time.Second)
		x.assertCompleted(l, []spoolsill.JobID{"j"})
	})
}
