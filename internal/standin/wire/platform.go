package wire

import (
	"cmp"
	"encoding/json"
	"fmt"
	"strings"
	"text/template"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/cellfake"
	"github.com/spoolsill/spoolsill/platform"
	"github.com/spoolsill/spoolsill/sched"
	"github.com/spoolsill/spoolsill/store"
)

// Domain is the host name of all routes in the configurations of this package.
const Domain = "cell.example"

// A WorkerEntry is the row that a worker writes about itself.
type WorkerEntry struct {
	ID       spoolsill.WorkerID
	Born     spoolsill.StartTime // omitted if zero
	Address  string
	Hall     spoolsill.HallID // omitted if empty
	Machine  string
	Rack     string
	Capacity spoolsill.Resources
	Draining bool
	// Remaining is the minimum time until a draining worker exits.
	Remaining time.Duration
}

// PutWorker writes a worker's entry as the worker itself would.
func PutWorker(s *cellfake.Store, e WorkerEntry) error {
	state := "ready"
	if e.Draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": "work",
		"addr":    e.Address,
		"state":   state,
		"machine": e.Machine,
		"capacity": map[string]int64{
			"cpu":   int64(e.Capacity.Processors),
			"memMb": int64(e.Capacity.Memory / spoolsill.MiB),
		},
		"labels":      []string{"a", e.Rack},
		"remainingMs": e.Remaining.Milliseconds(),
		"new":         "fields that nobody knows are skipped",
	}
	if e.Hall != "" {
		entry["zone"] = e.Hall
	}
	if e.Born != 0 {
		entry["born"] = e.Born
	}
	return put(s, platform.WorkersTable, string(e.ID), entry)
}

// DeleteWorker removes a worker's entry, as the platform does when a worker has
// exited or become unresponsive.
func DeleteWorker(s *cellfake.Store, id spoolsill.WorkerID) {
	s.Delete(store.Key{
		Table: platform.WorkersTable,
		Name:  string(id),
	})
}

// A Route is a queue in a configuration.
type Route struct {
	Queue    sched.QueueID
	Prefix   string
	Priority int
	// Advised is set if hosts must query the advisor before placement.
	Advised bool
	// Advisor, Stretch and Goal replace the defaults if they are set.
	Advisor sched.Advisor
	Stretch float64
	Goal    time.Duration
}

// A Team is a team in a configuration.
type Team struct {
	ID    spoolsill.TeamID
	Keys  []string
	Quota spoolsill.Resources
}

// PutConfig writes the operators' configuration of a deployment without teams.
func PutConfig(s *cellfake.Store, version int, routes []Route) error {
	return putConfig(s, newConfig(version, routes))
}

// PutConfigWithTeams writes the operators' configuration of a deployment with
// teams.
func PutConfigWithTeams(s *cellfake.Store, version int, routes []Route, teams []Team) error {
	list := []any{}
	for _, t := range teams {
		list = append(list, map[string]any{
			"name":    t.ID,
			"apiKeys": t.Keys,
			"weight":  10,
			"maxCount": map[string]int64{
				"cpu":   int64(t.Quota.Processors),
				"memMb": int64(t.Quota.Memory / spoolsill.MiB),
				"gpu":   int64(t.Quota.Accelerators),
			},
		})
	}
	c := newConfig(version, routes)
	c["tenants"] = list
	return putConfig(s, c)
}

func putConfig(s *cellfake.Store, c map[string]any) error {
	return put(s, platform.OperatorTable, platform.ConfigRow, c)
}

// Evacuate writes or deletes the row by which the operators evacuate a hall.
func Evacuate(s *cellfake.Store, h spoolsill.HallID, evacuate bool) error {
	if evacuate {
		return put(s, platform.OperatorTable, platform.EvacuationRow(h), map[string]any{})
	}
	s.Delete(store.Key{
		Table: platform.OperatorTable,
		Name:  platform.EvacuationRow(h),
	})
	return nil
}

func newConfig(version int, routes []Route) map[string]any {
	var list []any
	for _, r := range routes {
		x := map[string]any{
			"name":        r.Queue,
			"host":        Domain,
			"pathPrefix":  r.Prefix,
			"priority":    r.Priority,
			"service":     "work",
			"maxAttempts": 3,
			"stretch":     cmp.Or(r.Stretch, 2),
			"goalMs":      cmp.Or(r.Goal, time.Second).Milliseconds(),
		}
		if r.Advised {
			a := cmp.Or(r.Advisor, sched.Advisor{
				Base:      5 * time.Millisecond,
				PerWorker: 100 * time.Microsecond,
			})
			x["advice"] = map[string]float64{
				"decide_ms": 1000 * a.Base.Seconds(),
				"each_ms":   1000 * a.PerWorker.Seconds(),
				"valid_ms":  1000,
			}
		}
		list = append(list, x)
	}
	return map[string]any{
		"version": version,
		"routes":  list,
		"limits": map[string]int{
			"maxBodyBytes": 10_000,
		},
	}
}

func put(s *cellfake.Store, table, name string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	s.Put(store.Put{
		Key: store.Key{
			Table: table,
			Name:  name,
		},
		Value: b,
	})
	return nil
}

// HostSettings holds the values of a host's settings file.
type HostSettings struct {
	Host           string
	Hall           string
	IP             string
	ClientAddress  string
	ReadyAddress   string
	StoreAddress   string
	AdvisorAddress string
	PeerPort       int
	Cores          float64
	MemoryMB       int
	LinkMbps       float64 // 0 if the platform does not tell
	Lease          time.Duration
	StopGrace      time.Duration
}

var settingsText = template.Must(template.New("settings").Parse(`node = "{{.Host}}"
zone = "{{.Hall}}"
ip = "{{.IP}}"
portRange = [{{.PeerPort}}, {{.PeerPort}}]
heartbeatMs = 1500
advice = "{{.AdvisorAddress}}"
[listen]
front = "{{.ClientAddress}}"
readyAddr = "{{.ReadyAddress}}"
[limits]
cpuShare = {{.Cores}}
{{- if .LinkMbps}}
linkMbps = {{.LinkMbps}}
{{- end}}
cores = 1
memoryMb = {{.MemoryMB}}
[bounds]
maxHoldMs = {{.Lease.Milliseconds}}
contactMs = 3000
graceS = {{.StopGrace.Seconds}}
stop_ms = 200
drainMs = 2000
far_x = 1.0
status_s = 120
[platform]
addr = "{{.StoreAddress}}"
row_bytes = 65536
`))

// TOML returns the content of the settings file.
func (s HostSettings) TOML() (string, error) {
	var b strings.Builder
	if err := settingsText.Execute(&b, s); err != nil {
		return "", fmt.Errorf("settings of %s: %w", s.Host, err)
	}
	return b.String(), nil
}
