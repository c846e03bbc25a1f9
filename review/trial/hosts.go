//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The command of the deploy file, at the root of the repository.
const hostCommand = "target/spoolsill-host"

// settingsText is the settings file of a host, as `fleetbench wire` shows it for a small site.
const settingsText = `node = "%[1]s"
role = "host"
class = "front"
serves = ["front","control"]
ip = "%[2]s"
zone = "vake"
region = "tbilisi"
portRange = [%[3]d,%[4]d]
seeds = [%[5]s]
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
orders = "call"
advice = "%[6]s"
[zones]
vake = "tbilisi"
[listen]
front = "%[2]s:%[7]d"
readyAddr = "%[2]s:%[8]d"
control = "%[2]s:%[9]d"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4200
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
maxHoldMs = 6000
stop_ms = 200
gang_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
far_x = 2
save_s = 1
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
addr = "%[10]s"
form = "table"
writes_per_s = 600
reads_per_s = 2000
tx_ms = 8.0
part_writes_per_s = 150
row_bytes = 65536
across = false
historyS = 20
blob_bytes = 8388608
blob_ms = 25.0
blob_mb_per_s = 80.0
`

// A ports is the ports that all hosts of a trial have in common.
type ports struct {
	front, ready, control, first, last int
}

// A host is a process of the system.
type host struct {
	name   string
	ip     string
	ports  ports
	file   string
	dir    string
	record *record

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	told  bool // a signal that ends it was sent
	// own counts the ends that no signal of the trial caused.
	own  int
	last string // the end of its log
}

func (h *host) front() string {
	return net.JoinHostPort(h.ip, fmt.Sprint(h.ports.front))
}

func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(h.dir, h.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(hostCommand)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.dir, "SPOOLSILL_BOOT=" + h.file}
	cmd.Stdout = log
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return err
	}
	_ = log.Close()
	h.cmd = cmd
	h.told = false
	ended := make(chan struct{})
	h.ended = ended
	h.record.printf("host %s started", h.name)
	go h.wait(cmd, ended)
	return nil
}

func (h *host) wait(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.told {
		h.record.printf("host %s ended after a signal", h.name)
	} else {
		h.own++
		h.record.printf("host %s ended by itself: %v; %s", h.name, err, h.panicLine())
	}
	h.cmd = nil
	close(ended)
}

// panicLine returns the line of the log that tells why a process ended.
func (h *host) panicLine() string {
	b, err := os.ReadFile(filepath.Join(h.dir, h.name+".log"))
	if err != nil {
		return ""
	}
	i := bytes.LastIndex(b, []byte("\npanic:"))
	if i < 0 {
		i = bytes.LastIndex(b, []byte("\nfatal error:"))
	}
	if i < 0 {
		return "no panic in its log"
	}
	lines := strings.Split(strings.TrimSpace(string(b[i:])), "\n")
	for _, l := range lines {
		if strings.HasPrefix(l, "github.com/spoolsill/") {
			name, _, _ := strings.Cut(l, "({")
			return lines[0] + " in " + name
		}
	}
	return lines[0]
}

// signal sends a signal and returns a channel that is closed once the process has ended.
func (h *host) signal(s syscall.Signal) <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		c := make(chan struct{})
		close(c)
		return c
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		h.told = true
	}
	h.record.printf("signal %v to host %s", s, h.name)
	_ = h.cmd.Process.Signal(s)
	return h.ended
}

func (h *host) runs() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cmd != nil
}

func (h *host) ownEnds() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.own
}

// ready asks a host whether it is ready, as the platform does each second.
func (h *host) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	q, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+net.JoinHostPort(h.ip, fmt.Sprint(h.ports.ready))+"/api/ready", nil)
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// A trial is one run of a case.
type trial struct {
	record *record
	dir    string
	net    string // the first three numbers of its loopback addresses
	store  *platformStore
	cell   *cell
	hosts  []*host
	// settings is the text of the settings, with gaps.
	settings string

	mu       sync.Mutex
	accepted map[string]time.Time
	states   map[string]string
}

func newTrial(r *record) (*trial, error) {
	dir, err := os.MkdirTemp("", "review-trial-")
	if err != nil {
		return nil, err
	}
	s := newPlatformStore()
	return &trial{
		record:   r,
		dir:      dir,
		net:      fmt.Sprintf("127.%d.%d", 30+rand.IntN(200), 1+rand.IntN(250)),
		store:    s,
		cell:     newCell(r, s),
		settings: settingsText,
		accepted: map[string]time.Time{},
		states:   map[string]string{},
	}, nil
}

// landRegistry gives the trial the bounds of mmr-kartta and the runners of its service with GPUs.
func (t *trial) landRegistry() {
	t.settings = strings.NewReplacer(
		"maxHoldMs = 6000", "maxHoldMs = 10000",
		"\nstop_ms = 200", "\nstop_ms = 400",
		"\nsave_s = 1\n", "\nsave_s = 0.5\n",
		"writes_per_s = 600", "writes_per_s = 800",
	).Replace(t.settings)
	t.cell.maxHold = 10 * time.Second
	t.cell.gpus = 8
}

func (t *trial) ip(i int) string {
	return fmt.Sprintf("%s.%d", t.net, i)
}

// killOnSignal ends the processes of the trial, and the trial, if it is told to end early.
func (t *trial) killOnSignal() {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-c
		for _, h := range t.hosts {
			<-h.signal(syscall.SIGKILL)
		}
		_ = os.RemoveAll(t.dir)
		t.record.printf("not run: ended early by a signal")
		os.Exit(exitNotRun)
	}()
}

// begin starts runners and hosts and waits until all hosts are ready.
func (t *trial) begin(hosts, runners int) error {
	for i := range runners {
		if _, err := t.cell.add(i, t.ip(200)); err != nil {
			return err
		}
	}
	m := http.NewServeMux()
	m.HandleFunc("POST /api/advise", t.cell.advise)
	advice, err := serve(t.ip(201), m)
	if err != nil {
		return err
	}
	p := ports{}
	base := 20000 + rand.IntN(20000)
	p.front, p.ready, p.control, p.first, p.last = base, base+1, base+2, base+3, base+18
	var seeds []string
	for i := range hosts {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", t.ip(i+1), p.control)))
	}
	for i := range hosts {
		h := &host{
			name:   fmt.Sprintf("front-vake-%d", i+1),
			ip:     t.ip(i + 1),
			ports:  p,
			dir:    t.dir,
			record: t.record,
		}
		address, err := serve(t.ip(202), t.store.handler(h.name))
		if err != nil {
			return err
		}
		h.file = filepath.Join(t.dir, h.name+".toml")
		text := fmt.Sprintf(t.settings, h.name, h.ip, p.first, p.last, strings.Join(seeds[:min(3, len(seeds))], ","), advice, p.front, p.ready, p.control, address)
		if err := os.WriteFile(h.file, []byte(text), 0o600); err != nil {
			return err
		}
		t.hosts = append(t.hosts, h)
	}
	t.killOnSignal()
	for _, h := range t.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		all := t.store.leadingHost() != ""
		for _, h := range t.hosts {
			all = all && h.ready()
		}
		if all {
			time.Sleep(time.Second)
			t.record.printf("all hosts are ready, %s leads", t.store.leadingHost())
			return nil
		}
	}
	return fmt.Errorf("hosts are not ready after 15 s")
}

// end ends all processes that the trial started.
func (t *trial) end() {
	var wg sync.WaitGroup
	for _, h := range t.hosts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			h.signal(syscall.SIGCONT)
			select {
			case <-h.signal(syscall.SIGTERM):
			case <-time.After(7 * time.Second):
				<-h.signal(syscall.SIGKILL)
			}
		}()
	}
	wg.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(t.dir)
	}
}

// hostNamed returns a host by its name.
func (t *trial) hostNamed(name string) *host {
	for _, h := range t.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// A route is a queue of the configuration.
type route struct {
	Name     string
	Prefix   string
	Attempts int
	Advised  bool
	Priority int
}

const domain = "nony24.example"

// configure writes a configuration, as the operator does.
func (t *trial) configure(version int, routes ...route) {
	list := []any{}
	for _, r := range routes {
		x := map[string]any{
			"name": r.Name, "host": domain, "pathPrefix": r.Prefix, "kind": "non_idempotent", "timeoutMs": 3000,
			"goalMs": 1000, "priority": r.Priority, "service": "work", "maxAttempts": r.Attempts, "stretch": 2.2,
		}
		if r.Advised {
			x["advice"] = map[string]any{"decide_ms": 10.0, "each_ms": 0.1, "valid_ms": ticketTime.Milliseconds()}
		}
		list = append(list, x)
	}
	t.store.put("op", "config", map[string]any{
		"version":  version,
		"routes":   list,
		"services": []any{map[string]any{"name": "work", "admissionCheck": false}},
		"limits":   map[string]any{"maxBodyBytes": 262144},
	})
	t.record.printf("configuration %d acknowledged by the store", version)
}

type step struct {
	Count      int   `json:"count"`
	CPU        int   `json:"cpu"`
	MemMB      int   `json:"memMb"`
	GPU        int   `json:"gpu,omitempty"`
	EstMS      int   `json:"estMs"`
	AfterRev   []int `json:"afterRev,omitempty"`
	Checkpoint bool  `json:"checkpoint,omitempty"`
	Gang       bool  `json:"gang,omitempty"`
	// AntiAffinity is how many tasks of the step one runner holds at most; 0 means any number.
	AntiAffinity int  `json:"antiAffinity,omitempty"`
	LongRunning  bool `json:"longRunning,omitempty"`
}

// call makes one call of a client and returns the status, 0 without an answer.
func (t *trial) call(h *host, method, path string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+h.front()+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	q.Host = domain
	q.Header.Set("X-Spoolsill-Deadline-Ms", "3000")
	q.Header.Set("Content-Type", "application/json")
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, nil
	}
	return r.StatusCode, b
}

// pick returns a host that a client's connection is given to: a ready one, if there is one.
func (t *trial) pick() *host {
	for range 10 {
		h := t.hosts[rand.IntN(len(t.hosts))]
		if h.runs() && h.ready() {
			return h
		}
	}
	return t.hosts[rand.IntN(len(t.hosts))]
}

// submit hands in a job, with up to four retries at other hosts, and reports whether it was
// accepted.
func (t *trial) submit(prefix string, w work, steps ...step) (string, bool) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	spec, _ := json.Marshal(w)
	body, _ := json.Marshal(map[string]any{
		"spec":  string(spec),
		"steps": steps,
	})
	status := 0
	for range 5 {
		h := t.pick()
		status, _ = t.call(h, http.MethodPost, prefix+id, body)
		t.record.printf("client: POST %s%s to %s: %d", prefix, id, h.name, status)
		if status == http.StatusOK {
			t.mu.Lock()
			t.accepted[id] = time.Now()
			t.mu.Unlock()
			return id, true
		}
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			return id, false
		}
		time.Sleep(200 * time.Millisecond)
	}
	return id, false
}

// state asks for the state of a job; "" means that there was no answer with a state.
func (t *trial) state(prefix, id string) string {
	for range 3 {
		h := t.pick()
		status, b := t.call(h, http.MethodGet, prefix+id, nil)
		switch status {
		case http.StatusOK:
			var x struct {
				State string `json:"state"`
			}
			_ = json.Unmarshal(b, &x)
			t.mu.Lock()
			if t.states[id] != x.State {
				t.record.printf("client: GET %s%s at %s: %s", prefix, id, h.name, x.State)
			}
			t.states[id] = x.State
			t.mu.Unlock()
			return x.State
		case http.StatusGone:
			t.record.printf("client: GET %s%s at %s: 410", prefix, id, h.name)
			return "410"
		}
		time.Sleep(100 * time.Millisecond)
	}
	return ""
}

// awaitState waits until a job is shown in a final state, and returns the last state.
func (t *trial) awaitState(prefix, id string, within time.Duration) string {
	s := ""
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		s = t.state(prefix, id)
		if s == "completed" || s == "failed" || s == "cancelled" {
			return s
		}
	}
	return s
}
