//go:build review

package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"
)

// sheetStatusSeconds is status_s on the sheet of the site.
const sheetStatusSeconds = 120

// Ports of a host. All hosts use the same ports at different loopback addresses.
const (
	frontPort   = 8149
	readyPort   = 8141
	controlPort = 8144
	peerPort    = 7380
	metricsPort = 9464
)

// hostSettings are the values that differ between the settings files of hosts.
type hostSettings struct {
	Name          string
	Zone          string
	IP            string
	Store         string
	Advisor       string
	MaxHoldMS     int64
	StatusSeconds int
}

// settingsText has the settings of a front machine of the site, as its `wire` prints them.
var settingsText = template.Must(template.New("settings").Parse(`node = "{{.Name}}"
role = "host"
class = "front"
serves = ["front", "control"]
ip = "{{.IP}}"
zone = "{{.Zone}}"
region = "fi-south"
portRange = [7380, 7395]
seeds = []
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"]
orders = "call"
advice = "{{.Advisor}}"
[zones]
espoo-a = "fi-south"
espoo-b = "fi-south"
vantaa-a = "fi-south"
vantaa-b = "fi-south"
[listen]
front = "{{.IP}}:8149"
readyAddr = "{{.IP}}:8141"
control = "{{.IP}}:8144"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseDelayS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lostSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
outerMs = 5000
recoveryS = 12
maxHoldMs = {{.MaxHoldMS}}
stop_ms = 400
gang_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = {{.StatusSeconds}}
far_x = 2
save_s = 0.5
restore_ms = 600
notice_ms = 4500
move_s = 1.5
upkeep_s = 2
checksFence = false
leaseMs = 3000
thawMs = 300
pace_ms = 100
harm_ms = 4000
[platform]
addr = "{{.Store}}"
form = "table"
writes_per_s = 800
reads_per_s = 2000
tx_ms = 5.0
part_writes_per_s = 200
row_bytes = 65536
across = false
historyS = 20
blob_bytes = 8388608
blob_ms = 25.0
blob_mb_per_s = 80.0
[cloud]
addr = "127.0.0.1:9"
ratePerS = 60.0
duties = []
dutyPerS = 60.0
`))

// stopGrace is the time between SIGTERM and SIGKILL: graceS of the settings.
const stopGrace = 6 * time.Second

// A host is one machine of the system, on which the program of the deploy file runs.
type host struct {
	settings hostSettings
	command  []string
	dir      string
	record   *record

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// start starts the program of the deploy file.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	var text strings.Builder
	if err := settingsText.Execute(&text, h.settings); err != nil {
		return err
	}
	file := filepath.Join(h.dir, h.settings.Name+".toml")
	if err := os.WriteFile(file, []byte(text.String()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(h.dir, h.settings.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	c := exec.Command(h.command[0], h.command[1:]...) //nolint:gosec // the program under test
	for _, name := range []string{"PATH", "HOME", "LANG"} {
		c.Env = append(c.Env, name+"="+os.Getenv(name))
	}
	c.Env = append(c.Env, "SPOOLSILL_BOOT="+file)
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err := c.Start(); err != nil {
		return fmt.Errorf("start %s: %w", h.settings.Name, err)
	}
	h.cmd = c
	exited := make(chan struct{})
	h.exited = exited
	h.record.add("host %s: started", h.settings.Name)
	go func() {
		_ = c.Wait()
		close(exited)
	}()
	return nil
}

// kill sends SIGKILL and waits for the end of the process.
func (h *host) kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.record.add("host %s: SIGKILL", h.settings.Name)
	_ = h.cmd.Process.Kill()
	<-h.exited
}

// stop sends SIGTERM, and SIGKILL after stopGrace.
func (h *host) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return
	}
	_ = h.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-h.exited:
	case <-time.After(stopGrace):
		_ = h.cmd.Process.Kill()
		<-h.exited
	}
}
