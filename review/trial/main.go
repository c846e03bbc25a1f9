//go:build review

// Command trial runs a case of the second review: it starts the hosts of a small cell as processes
// against stand-ins for the platform, its runners and its clients, and checks one rule by what
// these see. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
// With TROUBLE=0 in the environment it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"
)

// A record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// A verdict is the outcome of a case.
type verdict struct {
	broken bool
	text   string
}

var cases = map[string]func(r *record, trouble bool) (verdict, error){
	"ticket":    ticket,
	"gangroom":  gangRoom,
	"longsaved": longSaved,
	"removed":   removed,
}

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: trial CASE RECORD")
		return exitNotRun
	}
	f, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = f.Close() }()
	r := &record{
		file:  f,
		start: time.Now(),
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.printf("case %s, with the disruption: %v", os.Args[1], trouble)
	v, err := cases[os.Args[1]](r, trouble)
	switch {
	case err != nil:
		r.printf("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case v.broken:
		r.printf("BROKEN: %s", v.text)
		fmt.Println("broken:", v.text)
		return exitBroken
	default:
		r.printf("HELD: %s", v.text)
		fmt.Println("held:", v.text)
		return exitHeld
	}
}

func envInt(name string, value int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return value
}
