package soak

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/spoolsill/spoolsill/internal/standin/wire"
)

// metricsPort is the port of the metrics of every host.
const metricsPort = 9464

// A Process runs a host, and can start it again after it has ended. It signals only
// processes that it has started. It is safe for concurrent use.
type Process struct {
	Settings wire.HostSettings

	binary string
	dir    string // for settings and logs

	mu     sync.Mutex
	cmd    *exec.Cmd // nil while the host does not run
	exited chan struct{}
	starts int
	// unexpectedExits joins the errors of processes that ended without SIGTERM or SIGKILL.
	unexpectedExits error
	terminated      bool // the current process was sent SIGTERM or SIGKILL
}

// NewProcess returns a Process that is not running yet.
func NewProcess(binary, dir string, s wire.HostSettings) *Process {
	return &Process{
		Settings: s,
		binary:   binary,
		dir:      dir,
	}
}

// Start starts the host unless it runs.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	text, err := p.Settings.TOML()
	if err != nil {
		return err
	}
	file := filepath.Join(p.dir, p.Settings.Host+".toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.dir, p.Settings.Host+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	c := exec.Command(p.binary, "--metrics", strconv.Itoa(metricsPort)) //nolint:gosec // the binary under test is chosen by the caller
	c.Env = append(os.Environ(), "SPOOLSILL_BOOT="+file)
	c.Stdout = log
	c.Stderr = log
	// The kernel kills the host if this process dies.
	c.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err := c.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Settings.Host, err)
	}
	p.cmd = c
	p.exited = make(chan struct{})
	p.starts++
	p.terminated = false
	go p.waitForExit(c, p.exited)
	return nil
}

// waitForExit waits until a process has ended, and then closes exited.
func (p *Process) waitForExit(c *exec.Cmd, exited chan struct{}) {
	err := c.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.terminated {
		p.unexpectedExits = errors.Join(p.unexpectedExits, fmt.Errorf("host %s exited unexpectedly: %w", p.Settings.Host, err))
	}
	p.cmd = nil
	close(exited)
}

// StartCount returns how many times the host was started.
func (p *Process) StartCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// UnexpectedExits returns the joined errors of processes that ended without SIGTERM or
// SIGKILL, or nil.
func (p *Process) UnexpectedExits() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unexpectedExits
}

// Signal sends a signal to the host if it runs, and returns a channel that is closed once
// that process has ended.
func (p *Process) Signal(s syscall.Signal) (exited <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		c := make(chan struct{})
		close(c)
		return c
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.terminated = true
	}
	_ = p.cmd.Process.Signal(s)
	return p.exited
}

// Stop stops the host gracefully, also if it is paused, and kills it if it has not ended
// within the platform's grace period.
func (p *Process) Stop() {
	p.Signal(syscall.SIGCONT)
	t := time.NewTimer(p.Settings.StopGrace)
	defer t.Stop()
	select {
	case <-p.Signal(syscall.SIGTERM):
	case <-t.C:
		<-p.Signal(syscall.SIGKILL)
	}
}
