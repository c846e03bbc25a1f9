//go:build review

package main

import (
	"fmt"
	"time"
)

// longSaved checks LOST: a large job with checkpoints comes, and small ones with it.
func longSaved(r *record, trouble bool) (verdict, error) {
	const prefix = "/lohu930/"
	t, err := newTrial(r)
	if err != nil {
		return verdict{}, err
	}
	defer t.end()
	t.configure(7, route{Name: "r-3hwrr6x", Prefix: prefix, Attempts: 3, Priority: 1})
	if err := t.begin(3, 8); err != nil {
		return verdict{}, err
	}
	rejectedOnce := map[string]bool{}
	t.store.onReject = func(host, reason string) {
		if !rejectedOnce[host] {
			rejectedOnce[host] = true
			r.printf("store: 400 to %s: %s", host, reason)
		}
	}
	saved := 16
	if trouble {
		saved = envInt("SAVED_BYTES", 128)
	}
	big, ok := t.submit(prefix, work{MS: 5000, SavedBytes: saved}, step{Count: 900, CPU: 1000, MemMB: 64, EstMS: 5000, Checkpoint: true})
	if !ok {
		return verdict{}, fmt.Errorf("the large job was not accepted")
	}
	var jobs []string
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if id, ok := t.submit(prefix, work{MS: 300}, step{Count: 2, CPU: 1000, MemMB: 64, EstMS: 300}); ok {
			jobs = append(jobs, id)
		}
	}
	r.printf("end of the traffic: %d small jobs accepted", len(jobs))
	time.Sleep(14 * time.Second) // finish_s
	open := 0
	for _, id := range append([]string{big}, jobs...) {
		if s := t.state(prefix, id); s != "completed" {
			open++
		}
	}
	_, rejected := t.store.counts()
	return verdict{
		broken: open > 0,
		text:   fmt.Sprintf("%d of %d accepted jobs are not completed 14 s after the end of the traffic; the store rejected %d transactions", open, len(jobs)+1, rejected),
	}, nil
}
