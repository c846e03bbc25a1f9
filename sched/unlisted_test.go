package sched_test

import (
	"testing"
	"time"
)

// Guards against a worker without an entry being contacted forever because it still
// answers, as each call renews its lease.
func TestIdleUnlistedWorkerIsNotContactedForever(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.state.WorkerUnlisted(x.now, "w")
	for range 120 {
		x.now = x.now.Add(500 * time.Millisecond)
		if len(x.state.HeartbeatTargets()) == 0 {
			return
		}
		x.renewLease("w") // as the leader's renewals do
		x.step()
	}
	x.c.Fatalf("still contacted a minute after its entry was deleted: %v", x.state.HeartbeatTargets())
}
