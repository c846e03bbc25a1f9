package leader_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/internal/cellfake"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/jobstore"
	"github.com/spoolsill/spoolsill/sched"
	"github.com/spoolsill/spoolsill/store"
)

// A host notifies a leader that has not read all jobs yet of a job and its cancellation, while the
// store refuses to write the job's end. The job's rows must not be deleted before the end is
// stored, or the job would be lost.
func TestRowsOfCancelledJobAreKeptUntilItsEndIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t.Context(), t, 1)
		defer x.end()
		j := sched.Job{
			ID:    "j",
			Queue: "plain",
			Steps: []sched.Step{step(1, 1)},
		}
		x.store.SetListLatency(jobstore.JobsTable, time.Second)
		l := x.lead("a")
		pause.For(x.ctx, 300*time.Millisecond) // the progress is read, the jobs are not
		x.submit(j)
		x.store.SetFault(func(t store.Transaction) cellfake.StoreFault {
			for _, p := range t.Puts {
				if p.Key == jobstore.ProgressKey("j") {
					return cellfake.StoreRefuse
				}
			}
			return cellfake.StoreOK
		})
		v, err := jobstore.EncodeJob(j)
		x.c.Assert(err, qt.IsNil)
		l.NotifyRow(store.Row{
			Key: store.Key{
				Table:     jobstore.JobsTable,
				Partition: "host",
				Name:      "j",
			},
			Value: v,
		})
		x.c.Assert(jobstore.Cancel(x.ctx, x.store, "host", "j"), qt.IsNil)
		l.NotifyRow(jobstore.CancelRow("host", "j"))
		pause.For(x.ctx, 6*time.Second)
		_, known, err := jobstore.ReadState(x.ctx, x.store, "j")
		x.c.Assert(err, qt.IsNil)
		x.c.Check(known, qt.IsTrue, qt.Commentf("neither the job nor its end is in the store"))
	})
}
