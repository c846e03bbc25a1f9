//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// forgotten checks TWICE: while jobs end, the store answers 503 for 0.12 s at a time, two or three times a second. Twice
// status_s later, when nobody may ask for the jobs any more, the leading host is stopped as
// planned, and another one leads.
func forgotten(r *record, trouble bool) (verdict, error) {
	const prefix = "/lohu930/"
	status := envInt("STATUS_S", 36)
	t, err := newTrial(r, status)
	if err != nil {
		return verdict{}, err
	}
	defer t.end()
	t.configure(7, route{Name: "r-3hwrr6x", Prefix: prefix, Attempts: 3})
	if err := t.begin(3, 8); err != nil {
		return verdict{}, err
	}
	var mu sync.Mutex
	down := false
	t.store.setFault(func(string, string) int {
		mu.Lock()
		defer mu.Unlock()
		if down {
			return http.StatusServiceUnavailable
		}
		return 0
	})
	const load = 16 * time.Second
	done := make(chan struct{})
	go func() {
		defer close(done)
		for end := time.Now().Add(load); time.Now().Before(end); time.Sleep(280 * time.Millisecond) {
			if !trouble {
				continue
			}
			mu.Lock()
			down = true
			mu.Unlock()
			r.printf("store: 503 to all calls from now on")
			time.Sleep(120 * time.Millisecond)
			mu.Lock()
			down = false
			mu.Unlock()
			r.printf("store: serves again")
		}
	}()
	var jobs []string
	for end := time.Now().Add(load); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if id, ok := t.submit(prefix, work{MS: 300}, step{Count: 2, CPU: 1000, MemMB: 64, EstMS: 300}); ok {
			jobs = append(jobs, id)
		}
	}
	<-done
	for _, id := range jobs {
		if s := t.awaitState(prefix, id, 5*time.Second); s != "completed" {
			return verdict{}, fmt.Errorf("job %s is %q", id, s)
		}
	}
	refused, _ := t.store.counts()
	before := t.store.leadingHost()
	r.printf("%d jobs are shown as completed; %d calls got 503; %s leads", len(jobs), refused, before)
	time.Sleep(time.Duration(2*status+6) * time.Second)
	r.printf("rows in the table jobs: %d", t.store.count("jobs"))
	h := t.hostNamed(t.store.leadingHost())
	r.printf("%s leads and is stopped as planned", h.name)
	begun := len(t.cell.startsAfterDone())
	ended := h.signal(syscall.SIGTERM)
	time.Sleep(8 * time.Second)
	select {
	case <-ended:
	default:
		h.signal(syscall.SIGKILL)
	}
	again := t.cell.startsAfterDone()
	for _, d := range again {
		r.printf("TWICE: %s run %d began at %s, although run %d had ended done and was noted %.1f s before", d.task, d.run, d.runner, d.doneBy, d.at.Sub(d.doneAt).Seconds())
	}
	return verdict{
		broken: len(again) > 0,
		text:   fmt.Sprintf("%d starts of tasks whose end done had been taken note of (%d before the hand-over), of %d jobs", len(again), begun, len(jobs)),
	}, nil
}
