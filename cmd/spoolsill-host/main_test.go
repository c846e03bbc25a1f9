package main_test

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/internal/standin/wire"
)

// settings returns settings for a host with an address specific to the test and an
// unreachable store.
func settings(c *qt.C) string {
	ip := fmt.Sprintf("127.%d.%d.1", 90+os.Getpid()%100, os.Getpid()/100%200)
	text, err := wire.HostSettings{
		Host:           "h",
		Hall:           "hall",
		IP:             ip,
		ClientAddress:  ip + ":7700",
		ReadyAddress:   ip + ":7701",
		StoreAddress:   ip + ":7799",
		AdvisorAddress: ip + ":7798",
		PeerPort:       7702,
		Cores:          1,
		MemoryMB:       284,
		Lease:          4 * time.Second,
		StopGrace:      6 * time.Second,
	}.TOML()
	c.Assert(err, qt.IsNil)
	return text
}

func build(c *qt.C) string {
	binary := filepath.Join(c.TempDir(), "spoolsill-host")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	return binary
}

// Guards against SIGHUP terminating a host during startup. The signal announces changed
// settings and may arrive at any time; a host that received it before it had read its
// settings was terminated.
func TestSIGHUPDuringStartup(t *testing.T) {
	c := qt.New(t)
	binary := build(c)
	file := filepath.Join(c.TempDir(), "settings.toml")
	c.Assert(syscall.Mkfifo(file, 0o600), qt.IsNil)
	host := exec.Command(binary, "--settings", file, "--check")
	c.Assert(host.Start(), qt.IsNil)
	// Opening the file blocks until the host has opened it for reading.
	w, err := os.OpenFile(file, os.O_WRONLY, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(host.Process.Signal(syscall.SIGHUP), qt.IsNil)
	_, err = io.WriteString(w, settings(c))
	c.Check(err, qt.IsNil)
	c.Check(w.Close(), qt.IsNil)
	c.Check(host.Wait(), qt.IsNil)
}

// SIGHUP must not terminate a host during a graceful shutdown with requests in flight
// either.
func TestSIGHUPDuringShutdown(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for a planned stop")
	}
	c := qt.New(t)
	binary := build(c)
	file := filepath.Join(c.TempDir(), "settings.toml")
	c.Assert(os.WriteFile(file, []byte(settings(c)), 0o600), qt.IsNil)
	host := exec.Command(binary, "--settings", file, "--metrics", "0")
	out, err := host.StdoutPipe()
	c.Assert(err, qt.IsNil)
	c.Assert(host.Start(), qt.IsNil)
	lines := bufio.NewScanner(out)
	waitFor := func(msg string) {
		for lines.Scan() {
			if strings.Contains(lines.Text(), msg) {
				return
			}
		}
		c.Fatalf("the host ended before it logged %q", msg)
	}
	waitFor("host started")
	c.Assert(host.Process.Signal(syscall.SIGTERM), qt.IsNil)
	waitFor("host stops as planned")
	c.Assert(host.Process.Signal(syscall.SIGHUP), qt.IsNil)
	waitFor("host stopped")
	_, err = io.Copy(io.Discard, out)
	c.Check(err, qt.IsNil)
	c.Check(host.Wait(), qt.IsNil)
}
