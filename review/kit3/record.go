//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// A record is the file record.txt of a case: what was sent, answered and run. It is safe for
// concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		file:  f,
		begun: time.Now(),
	}, nil
}

// add writes a line with the time since the beginning of the case.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.file.Close()
}
