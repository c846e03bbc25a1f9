//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// ticket checks Fault: the operator removes a queue and adds it again with advice, while its
// accepted jobs run and the store forgets its history.
func ticket(r *record, trouble bool) (verdict, error) {
	const prefix = "/lohu930/"
	t, err := newTrial(r)
	if err != nil {
		return verdict{}, err
	}
	defer t.end()
	queue := route{Name: "r-3hwrr6x", Prefix: prefix, Attempts: 3, Priority: 1}
	other := route{Name: "r-73d3zji", Prefix: "/pufi791/", Attempts: 2, Priority: 2}
	version := 7
	put := func(rs ...route) {
		version += 3
		t.configure(version, rs...)
	}
	var mu sync.Mutex
	advised := false
	t.cell.advised = func(string) bool {
		mu.Lock()
		defer mu.Unlock()
		return advised
	}
	setAdvised := func(a bool) {
		mu.Lock()
		defer mu.Unlock()
		advised = a
	}
	put(queue, other)
	if err := t.begin(3, 8); err != nil {
		return verdict{}, err
	}
	// Hosts that end by themselves are started again after a short delay.
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(300 * time.Millisecond):
			}
			for _, h := range t.hosts {
				if !h.runs() {
					time.Sleep(200 * time.Millisecond)
					_ = h.start()
				}
			}
		}
	}()
	// Each job is a chain of short tasks, so that tasks begin at any moment.
	chain := func() {
		var steps []step
		for i := range 60 {
			s := step{Count: 1, CPU: 500, MemMB: 32, EstMS: 40}
			if i > 0 {
				s.AfterRev = []int{i - 1}
			}
			steps = append(steps, s)
		}
		t.submit(prefix, work{MS: 40}, steps...)
	}
	for range 11 {
		put(queue, other)
		for range 8 {
			chain()
		}
		time.Sleep(time.Second)
		put(other)
		time.Sleep(time.Second)
		again := queue
		again.Advised = trouble
		change := func() {
			put(again, other)
			setAdvised(again.Advised)
		}
		if trouble {
			r.printf("store: feeds hear nothing for a second, then the history is dropped")
			t.store.compact(change)
			r.printf("store: history dropped")
		} else {
			change()
			time.Sleep(time.Second)
		}
		time.Sleep(5 * time.Second)
		put(other)
		setAdvised(false)
		time.Sleep(500 * time.Millisecond)
	}
	thrice := 0
	var counts []string
	for _, h := range t.hosts {
		counts = append(counts, fmt.Sprintf("%s %d", h.name, h.ownEnds()))
		if h.ownEnds() >= 3 {
			thrice++
		}
	}
	return verdict{
		broken: thrice >= 2,
		text:   "processes that ended by themselves: " + strings.Join(counts, ", "),
	}, nil
}
