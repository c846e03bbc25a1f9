//go:build review

// Command kit3 runs the cases of the review in review/9 to review/13 that are scripts. It
// starts the hosts with the command of the deploy file, and plays the platform and the clients.
//
//	kit3 CASE DIR
//
// DIR gets record.txt. The exit status is 1 if the rule was broken, 0 if it held, and 2 if the
// case couldn't run. With TROUBLE=0 in the environment there is no disruption.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitError  = 2
)

// A verdict is what a case found: the ways in which the rule was broken.
type verdict []string

type testCase func(ctx context.Context, dir string, r *record, trouble bool) (verdict, error)

var cases = map[string]testCase{
	"crashes": crashes,
	"gang":    gang,
	"gone":    goneRunner,
	"poison":  poison,
	"failing": failing,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: kit3 CASE DIR")
		return exitError
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitError
	}
	defer r.close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitError
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("settings and logs:", dir)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	defer cancel()
	broken, err := cases[os.Args[1]](ctx, dir, r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitError
	}
	for _, b := range broken {
		r.add("BROKEN  %s", b)
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	r.add("the rule held")
	fmt.Println("held")
	return exitHeld
}
