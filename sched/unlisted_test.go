package sched_test

import (
	"testing"
	"time"
)

// A worker whose entry went is not looked at for ever because it still answers, though
// each call renews its lease.
func TestIdleWorkerWhoseEntryWentIsLeftAfterAWhile(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.state.WorkerUnlisted(x.now, "w")
	for range 120 {
		x.now = x.now.Add(500 * time.Millisecond)
		if len(x.state.HeartbeatTargets()) == 0 {
			return
		}
		x.renewLease("w") // as a renewer does
		x.step()
	}
	x.c.Fatalf("still kept in touch with a minute after its entry went: %v", x.state.HeartbeatTargets())
}
