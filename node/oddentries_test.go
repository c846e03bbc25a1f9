package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/leader"
	"github.com/spoolsill/spoolsill/platform"
	"github.com/spoolsill/spoolsill/store"
)

// extremes are JSON values at the ends of their types' ranges, and beyond them.
var extremes = []string{
	`null`, `true`, `""`, `"x"`, `[]`, `{}`, `0`, `-0.0`, `-1`, `0.5`, `1e-400`,
	`2147483648`, `9007199254740993`, `9223372036854775807`, `9223372036854775808`, `-9223372036854775808`,
	`18446744073709551615`, `1e18`, `1e300`, `-1e300`, `1e400`, strings.Repeat("9", 9000),
	`"` + strings.Repeat("x", 9000) + `"`, `"\u0000\n\r\u2028"`, `"\ud800"`,
	strings.Repeat("[", 5000) + strings.Repeat("]", 5000), strings.Repeat(`{"a":`, 2000) + `1` + strings.Repeat(`}`, 2000),
}

// oddEntries returns entries with each field at its extremes, and others that no worker writes.
func oddEntries() []string {
	entries := []string{
		``, `null`, `[]`, `17`, `{`, "\xff\xfe", strings.Repeat("[", 15_000), strings.Repeat("[", 30_000) + strings.Repeat("]", 30_000),
	}
	for _, a := range []string{
		":0", "10.8.0.1:0", "10.8.0.1:65536", "10.8.0.1:99999999999999999999", "10.8.0.1:-1", "10.8.0.1:", "0.0.0.0:80",
		"255.255.255.255:9", "224.0.0.1:9", "[::]:80", "[fe80::1%eth0]:80", "[fe80::1%/../%zz]:80", "[::1", "10.8.0.1:80/x", "10.8.0.1:80\n",
	} {
		entries = append(entries, entryWith("addr", fmt.Sprintf("%q", a)))
	}
	for _, f := range []string{"service", "addr", "zone", "machine", "born", "state", "capacity", "labels", "remainingMs", "slots", "seq", "other"} {
		for _, v := range extremes {
			entries = append(entries, entryWith(f, v))
		}
	}
	for _, f := range []string{"cpu", "memMb", "gpu"} {
		for _, v := range extremes {
			entries = append(entries, entryWith("capacity", fmt.Sprintf(`{"cpu":1000,"memMb":1000,"gpu":1,%q:%s}`, f, v)))
		}
	}
	return entries
}

// entryWith returns an entry of a worker at an address where nothing listens, with one field
// replaced.
func entryWith(field, value string) string {
	return entryAt("10.8.9.9:80", field, value)
}

// entryAt returns an entry of a worker that drains, with one field replaced.
func entryAt(address, field, value string) string {
	return fmt.Sprintf(`{"service":"work","addr":%q,"zone":"hall0","machine":"odd","state":"draining","remainingMs":1000,`+
		`"capacity":{"cpu":8000,"memMb":8000,"gpu":8},"labels":["r1-1"],%q:%s}`, address, field, value)
}

// Guards against an entry among those of the workers that ends the hosts which read it, or that keeps
// them from following the other entries. Each entry appears in a listing and in the feed.
func TestOddEntriesLeaveOtherWorkersInUse(t *testing.T) {
	run(t, 3, 1, func(x *cell) {
		before, _, err := leader.ReadHead(x.ctx, x.store)
		x.c.Assert(err, qt.IsNil)
		for i, e := range oddEntries() {
			x.putEntry(fmt.Sprint("odd", i), e)
		}
		for _, name := range []string{"", strings.Repeat("x", 200), "a\nb\r\x00", "\u2028"} {
			x.putEntry(name, entryWith("state", `"ready"`))
		}
		pause.For(x.ctx, time.Second)
		x.addWorker(1) // is used only by those that follow the entries
		x.workers.SetUnreachable("w0", true)
		x.store.DropHistory()
		pause.For(x.ctx, 2*time.Second)
		for i := range 3 {
			x.c.Assert(x.call(i, http.MethodPost, "/q/"+jobID(i), body).status, qt.Equals, http.StatusOK)
		}
		pause.For(x.ctx, 5*time.Second)
		for i := range 3 {
			x.c.Check(x.state(i, jobID(i)), qt.Equals, completed)
		}
		after, _, err := leader.ReadHead(x.ctx, x.store)
		x.c.Assert(err, qt.IsNil)
		x.c.Check(after.Epoch, qt.Equals, before.Epoch)
		x.c.Check(x.workers.Violations(), qt.HasLen, 0)
	})
}

// Guards against an entry of a worker that answers whose values end the leader, or keep it from using
// the worker once the entry is whole again.
func TestWorkerWithExtremeEntriesIsUsedAgain(t *testing.T) {
	run(t, 2, 2, func(x *cell) {
		x.assertUsedAfterExtremes("zone", "machine", "state", "capacity", "labels", "remainingMs")
	})
}

// As for the other fields, but an entry with another start time tells of another incarnation.
func TestWorkerWithExtremeStartTimesIsUsedAgain(t *testing.T) {
	run(t, 2, 2, func(x *cell) { x.assertUsedAfterExtremes("born") })
}

// assertUsedAfterExtremes replaces the entry of a worker by entries with each field at its extremes,
// and checks that the leader uses the worker after its next entry.
func (x *cell) assertUsedAfterExtremes(fields ...string) {
	before, _, err := leader.ReadHead(x.ctx, x.store)
	x.c.Assert(err, qt.IsNil)
	for _, f := range fields {
		for _, v := range extremes {
			x.putEntry("w1", entryAt(workerAddress(1), f, v))
			pause.For(x.ctx, 250*time.Millisecond)
		}
	}
	x.workers.SetUnreachable("w0", true)
	x.writeWorkerEntry(1)
	pause.For(x.ctx, 2*time.Second)
	x.c.Assert(x.call(0, http.MethodPost, "/q/"+jobID(1), body).status, qt.Equals, http.StatusOK)
	pause.For(x.ctx, 3*time.Second)
	x.c.Check(x.state(1, jobID(1)), qt.Equals, completed)
	after, _, err := leader.ReadHead(x.ctx, x.store)
	x.c.Assert(err, qt.IsNil)
	x.c.Check(after.Epoch, qt.Equals, before.Epoch)
	x.c.Check(x.workers.Violations(), qt.HasLen, 0)
}

// putEntry writes an entry among those of the workers.
func (x *cell) putEntry(name, value string) {
	x.store.Put(store.Put{
		Key: store.Key{
			Table: platform.WorkersTable,
			Name:  name,
		},
		Value: []byte(value),
	})
}
