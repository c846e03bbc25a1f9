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

// metricsPort is where each host, at its own address, serves its metrics.
const metricsPort = 9464

// A Process is one host, over all its lives. It signals only processes that it
// has started. It is safe for concurrent use.
type Process struct {
	Settings wire.HostSettings

	binary string
	dir    string // of its settings and logs

	mu    sync.Mutex
	cmd   *exec.Cmd // nil while it does not run
	ended chan struct{}
	lives int
	// stray explains a life that ended by itself.
	stray error
	sent  bool // this life was told to end
}

// NewProcess returns a host that has not been started.
func NewProcess(binary, dir string, s wire.HostSettings) *Process {
	return &Process{
		Settings: s,
		binary:   binary,
		dir:      dir,
	}
}

// Start starts a new life when there is none.
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
	c := exec.Command(p.binary, "--metrics", strconv.Itoa(metricsPort)) //nolint:gosec // the binary under test, named by whoever starts the soak
	c.Env = append(os.Environ(), "SPOOLSILL_BOOT="+file)
	c.Stdout = log
	c.Stderr = log
	// A soak that is killed leaves nothing behind.
	c.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err := c.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Settings.Host, err)
	}
	p.cmd = c
	p.ended = make(chan struct{})
	p.lives++
	p.sent = false
	go p.await(c, p.ended)
	return nil
}

func (p *Process) await(c *exec.Cmd, ended chan struct{}) {
	err := c.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.sent {
		p.stray = errors.Join(p.stray, fmt.Errorf("host %s ended by itself: %w", p.Settings.Host, err))
	}
	p.cmd = nil
	close(ended)
}

// Lives returns how many lives the host has had.
func (p *Process) Lives() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lives
}

// Stray returns the lives that ended without being told to.
func (p *Process) Stray() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stray
}

// Signal sends a signal to the present life, if there is one, and returns a
// channel that is closed once that life has ended.
func (p *Process) Signal(s syscall.Signal) (ended <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		c := make(chan struct{})
		close(c)
		return c
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.sent = true
	}
	_ = p.cmd.Process.Signal(s)
	return p.ended
}

// Stop stops the present life as planned, and kills it when it has not ended
// within the grace that the platform gives.
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
