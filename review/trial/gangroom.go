//go:build review

package main

import (
	"fmt"
	"time"
)

// gangRoom checks LOST: a gang comes whose tasks need all GPUs of a runner, while each runner has a
// lasting task with one of its eight, beside small jobs of a queue that goes after the gang's.
func gangRoom(r *record, trouble bool) (verdict, error) {
	const prefix, smallPrefix = "/lohu930/", "/pufi791/"
	const runners = 13
	t, err := newTrial(r)
	if err != nil {
		return verdict{}, err
	}
	defer t.end()
	t.landRegistry()
	t.configure(7,
		route{Name: "r-3hwrr6x", Prefix: prefix, Attempts: 3, Priority: 1},
		route{Name: "r-73d3zji", Prefix: smallPrefix, Attempts: 2, Priority: 2},
	)
	if err := t.begin(3, runners); err != nil {
		return verdict{}, err
	}
	t.submit(prefix, work{MS: 600_000}, step{Count: runners, CPU: 2000, MemMB: 4096, GPU: 1, EstMS: 500, AntiAffinity: 1, LongRunning: true})
	time.Sleep(3 * time.Second)
	if n := t.cell.atWork(); n != runners {
		return verdict{}, fmt.Errorf("%d lasting tasks are at work", n)
	}
	if trouble {
		t.submit(prefix, work{MS: 9000}, step{Count: 5, CPU: 31_000, MemMB: 45_000, GPU: 8, EstMS: 9000, Gang: true})
	}
	var jobs []string
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if id, ok := t.submit(smallPrefix, work{MS: 300}, step{Count: 2, CPU: 1000, MemMB: 64, GPU: 1, EstMS: 300}); ok {
			jobs = append(jobs, id)
		}
	}
	r.printf("end of the traffic: %d small jobs accepted", len(jobs))
	time.Sleep(14 * time.Second) // finish_s
	open := 0
	for _, id := range jobs {
		if done, _ := t.cell.progressOf(id); done < 2 {
			open++
			r.printf("LOST: job %s: %d of 2 tasks have ended done", id, done)
		}
	}
	return verdict{
		broken: open > 0,
		text:   fmt.Sprintf("%d of %d small jobs have not run 14 s after the end of the traffic; %d runs are at work, on %d runners with 64 cores and 8 GPUs each", open, len(jobs), t.cell.atWork(), runners),
	}, nil
}
