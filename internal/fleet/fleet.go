package fleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/api"
	"github.com/spoolsill/spoolsill/entry"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/internal/standin"
	"github.com/spoolsill/spoolsill/internal/zero"
	"github.com/spoolsill/spoolsill/settings"
	"github.com/spoolsill/spoolsill/timeline"
)

// A managedHost is one entry host with the state needed to end and restart it.
type managedHost struct {
	settings settings.Settings
	host     *entry.Host
	cancel   context.CancelFunc
	done     chan struct{}
	state    State
}

// State is the run state of a host.
type State int

// The states of a host.
const (
	Running State = iota
	Killed
	Stopped // by a planned stop
)

// A Config describes a [Fleet].
type Config struct {
	Cell         *standin.Cell
	Halls        []spoolsill.HallID
	HostsPerHall int
	// Service describes the only service. Zero limits get the defaults of package
	// settings.
	Service   settings.Service
	HallLease time.Duration
	TaskLease time.Duration
	Break     entry.Breaks
}

// A Fleet is the entry hosts of a deployment. It is safe for concurrent use.
type Fleet struct {
	config Config
	log    logrus.FieldLogger

	mu    sync.Mutex
	hosts []*managedHost
	rings []*timeline.Ring // of all incarnations of all hosts
}

// New starts the entry hosts of all halls. The caller must call Close to end
// them.
func New(c Config) (*Fleet, error) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	zero.Default(&c.Service.Connections, settings.DefaultConnections)
	zero.Default(&c.Service.MaxBodyBytes, settings.DefaultMaxBodyBytes)
	zero.Default(&c.Service.MaxAnswerBytes, settings.DefaultMaxAnswerBytes)
	zero.Default(&c.Service.MaxQueued, settings.DefaultMaxQueued)
	f := &Fleet{
		config: c,
		log:    log,
	}
	base, listeners, err := f.listenAll()
	if err != nil {
		return nil, err
	}
	for _, h := range base.Halls {
		for _, p := range h.Hosts {
			s := base
			s.Host.ID = p.ID
			s.Host.HTTPAddress = p.HTTPAddress
			s.Host.PeerAddress = p.PeerAddress
			m := &managedHost{
				settings: s,
			}
			f.hosts = append(f.hosts, m)
			f.startHost(m, listeners[p.HTTPAddress], listeners[p.PeerAddress])
		}
	}
	return f, nil
}

// listenAll opens the listeners of all hosts. It returns the settings that the
// hosts have in common and the listeners by address.
func (f *Fleet) listenAll() (settings.Settings, map[string]net.Listener, error) {
	s := settings.Settings{
		Host: settings.Host{
			DrainDelay:  settings.Duration(300 * time.Millisecond),
			StopTimeout: settings.Duration(20 * time.Second),
		},
		Platform: settings.Platform{
			URL:             f.config.Cell.URL,
			Timeout:         settings.Duration(500 * time.Millisecond),
			ReadsPerSecond:  100,
			WritesPerSecond: 100,
		},
		Services: []settings.Service{f.config.Service},
		Lease: settings.Lease{
			Hall: settings.Duration(f.config.HallLease),
			Task: settings.Duration(f.config.TaskLease),
		},
	}
	listeners := map[string]net.Listener{}
	for _, id := range f.config.Halls {
		h := settings.Hall{
			ID: id,
		}
		for i := range f.config.HostsPerHall {
			p := settings.HallHost{
				ID: spoolsill.HostID(fmt.Sprintf("%s-%d", id, i+1)),
			}
			for _, a := range []*string{&p.HTTPAddress, &p.PeerAddress} {
				l, err := f.config.Cell.Network.Listen(hostNode(p.ID, id), "")
				if err != nil {
					return s, nil, err
				}
				*a = l.Addr().String()
				listeners[*a] = l
			}
			h.Hosts = append(h.Hosts, p)
		}
		s.Halls = append(s.Halls, h)
	}
	return s, listeners, nil
}

// hostNode returns the network node of a host.
func hostNode(id spoolsill.HostID, hall spoolsill.HallID) standin.Node {
	return standin.Node{
		Name:  string(id),
		Place: string(hall),
	}
}

// startHost starts a new incarnation of a host.
func (f *Fleet) startHost(m *managedHost, httpListener, peerListener net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.done = make(chan struct{})
	m.state = Running
	m.host = entry.New(entry.Config{
		Settings: m.settings,
		Log:      f.log,
		Dial:     f.config.Cell.Network.Dialer(hostNode(m.settings.Host.ID, m.settings.OwnHall().ID)),
		HTTP:     httpListener,
		Peer:     peerListener,
		Break:    f.config.Break,
	})
	h := m.host
	f.rings = append(f.rings, h.Ring())
	done := m.done
	go func() {
		defer close(done)
		if err := h.Run(ctx); err != nil {
			f.config.Cell.Truth.RecordViolation(standin.InvariantPlannedStop, "host %s failed: %s", m.settings.Host.ID, err)
		}
	}()
}

// Events returns the events of all incarnations of all hosts, in order.
func (f *Fleet) Events() []timeline.Event {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all [][]timeline.Event
	for _, r := range f.rings {
		all = append(all, r.Select(timeline.Filter{}, 0))
	}
	return timeline.Merge(all...)
}

// Len returns the number of hosts.
func (f *Fleet) Len() int {
	return len(f.hosts)
}

// HostID returns the id of the host with index i.
func (f *Fleet) HostID(i int) spoolsill.HostID {
	return f.hosts[i].settings.Host.ID
}

// Hall returns the hall of the host with index i.
func (f *Fleet) Hall(i int) spoolsill.HallID {
	return f.hosts[i].settings.OwnHall().ID
}

// Host returns the current incarnation of the host with index i.
func (f *Fleet) Host(i int) *entry.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts[i].host
}

// Kill ends a host without a planned stop, as if its process had been killed.
func (f *Fleet) Kill(i int) {
	m := f.setState(i, Killed)
	m.cancel()
	<-m.done
}

// setState sets the state of the host with index i and returns the host.
func (f *Fleet) setState(i int, s State) *managedHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.hosts[i]
	m.state = s
	return m
}

// Stop performs a planned stop of a host and reports whether all its work
// finished.
func (f *Fleet) Stop(ctx context.Context, i int) bool {
	m := f.setState(i, Stopped)
	clean := m.host.Stop(ctx)
	<-m.done
	m.cancel()
	return clean
}

// Restart starts a new incarnation of a host that has ended.
func (f *Fleet) Restart(i int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.hosts[i]
	node := hostNode(m.settings.Host.ID, m.settings.OwnHall().ID)
	httpListener, err := f.config.Cell.Network.Listen(node, m.settings.Host.HTTPAddress)
	if err != nil {
		return err
	}
	peerListener, err := f.config.Cell.Network.Listen(node, m.settings.Host.PeerAddress)
	if err != nil {
		_ = httpListener.Close()
		return err
	}
	f.startHost(m, httpListener, peerListener)
	return nil
}

// Close ends all hosts.
func (f *Fleet) Close() {
	f.mu.Lock()
	hosts := append([]*managedHost(nil), f.hosts...)
	f.mu.Unlock()
	for _, m := range hosts {
		m.cancel()
		<-m.done
	}
}

// States returns the HTTP addresses and states of all hosts.
func (f *Fleet) States() ([]string, []State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addresses []string
	var states []State
	for _, m := range f.hosts {
		addresses = append(addresses, m.settings.Host.HTTPAddress)
		states = append(states, m.state)
	}
	return addresses, states
}

// ConfigVersions returns the version of the configuration in force at each
// running host that knows it to be at least as new as every version accepted
// before the host started.
func (f *Fleet) ConfigVersions() map[spoolsill.HostID]spoolsill.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[spoolsill.HostID]spoolsill.Version{}
	for _, m := range f.hosts {
		if m.state == Running {
			if v, sure := m.host.SyncedConfigVersion(); sure {
				out[m.settings.Host.ID] = v
			}
		}
	}
	return out
}

// ExternalNode is the network node of callers, operators and the balancer.
var ExternalNode = standin.Node{
	Name:  "outside",
	Place: "outside",
}

// HTTPClient returns a client that connects from [ExternalNode].
func (f *Fleet) HTTPClient() *http.Client {
	const idle = 64
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         f.config.Cell.Network.Dialer(ExternalNode),
			MaxIdleConnsPerHost: idle,
		},
	}
}

// OperatorClient returns an API client that tries all hosts.
func (f *Fleet) OperatorClient() *api.Client {
	addresses, _ := f.States()
	return &api.Client{
		Hosts:      addresses,
		HTTPClient: f.HTTPClient(),
	}
}

// WaitReady waits until every host is reachable and knows the cell's members, and
// every hall has a holder that serves calls.
func (f *Fleet) WaitReady(ctx context.Context) error {
	c := f.OperatorClient()
	defer c.HTTPClient.CloseIdleConnections()
	for {
		hosts, err := c.ListHosts(ctx)
		if err == nil && f.allReady(hosts) {
			return nil
		}
		pause.For(ctx, 50*time.Millisecond)
		if ctx.Err() != nil {
			return eris.Wrap(errors.Join(ctx.Err(), err), "hosts are not ready")
		}
	}
}

// allReady reports whether all hosts are ready and each hall has a holder.
func (f *Fleet) allReady(list api.Hosts) bool {
	holders := 0
	for _, host := range list.Hosts {
		if host.UnreachableReason != "" || !host.MembersKnown {
			return false
		}
		if host.Placing {
			holders++
		}
	}
	return holders == len(f.config.Halls)
}

// PlatformUnresponsive reports whether the platform is unresponsive for a running
// host of a hall.
func (f *Fleet) PlatformUnresponsive(hall spoolsill.HallID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.hosts {
		if m.state == Running && m.settings.OwnHall().ID == hall && m.host.PlatformUnavailable() {
			return true
		}
	}
	return false
}

// Holder returns the index of the host that holds a hall's lease, if any.
func (f *Fleet) Holder(hall spoolsill.HallID) (int, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, m := range f.hosts {
		if m.state == Running && m.settings.OwnHall().ID == hall && m.host.HoldsLease() {
			return i, true
		}
	}
	return 0, false
}
