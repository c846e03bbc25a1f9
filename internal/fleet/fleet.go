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

// A unit is one entry host and what is needed to end it and start it again.
type unit struct {
	settings settings.Settings
	host     *entry.Host
	cancel   context.CancelFunc
	ended    chan struct{}
	state    State
}

// State says whether a host runs.
type State int

// The states of a host.
const (
	Running State = iota
	Killed
	Stopped // as planned
)

// A Config describes a [Fleet].
type Config struct {
	Cell         *standin.Cell
	Halls        []spoolsill.HallID
	HostsPerHall int
	// Service has the settings' defaults where it is zero.
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
	units []*unit
	rings []*timeline.Ring // of all lives of all hosts
}

// New starts the entry hosts of all halls. Close ends them.
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
	base, listeners, err := f.layout()
	if err != nil {
		return nil, err
	}
	for _, h := range base.Halls {
		for _, p := range h.Hosts {
			s := base
			s.Host.ID = p.ID
			s.Host.HTTPAddress = p.HTTPAddress
			s.Host.PeerAddress = p.PeerAddress
			u := &unit{
				settings: s,
			}
			f.units = append(f.units, u)
			f.run(u, listeners[p.HTTPAddress], listeners[p.PeerAddress])
		}
	}
	return f, nil
}

// layout lays out the addresses of all hosts and listens on them.
func (f *Fleet) layout() (settings.Settings, map[string]net.Listener, error) {
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
				l, err := f.config.Cell.Network.Listen(node(p.ID, id), "")
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

func node(id spoolsill.HostID, hall spoolsill.HallID) standin.Node {
	return standin.Node{
		Name:  string(id),
		Place: string(hall),
	}
}

func (f *Fleet) run(u *unit, web, inner net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	u.cancel = cancel
	u.ended = make(chan struct{})
	u.state = Running
	u.host = entry.New(entry.Config{
		Settings: u.settings,
		Log:      f.log,
		Dial:     f.config.Cell.Network.Dialer(node(u.settings.Host.ID, u.settings.OwnHall().ID)),
		HTTP:     web,
		Peer:     inner,
		Break:    f.config.Break,
	})
	h := u.host
	f.rings = append(f.rings, h.Ring())
	ended := u.ended
	go func() {
		defer close(ended)
		if err := h.Run(ctx); err != nil {
			f.config.Cell.Truth.Break(standin.PlannedStop, "host %s could not run: %s", u.settings.Host.ID, err)
		}
	}()
}

// Events returns the events of all lives of all hosts, in order.
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
	return len(f.units)
}

// HostID returns the id of the host with an index.
func (f *Fleet) HostID(i int) spoolsill.HostID {
	return f.units[i].settings.Host.ID
}

// Hall returns the hall of the host with an index.
func (f *Fleet) Hall(i int) spoolsill.HallID {
	return f.units[i].settings.OwnHall().ID
}

// Host returns the host with an index.
func (f *Fleet) Host(i int) *entry.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.units[i].host
}

// Kill ends a host as if its process had died.
func (f *Fleet) Kill(i int) {
	u := f.mark(i, Killed)
	u.cancel()
	<-u.ended
}

func (f *Fleet) mark(i int, s State) *unit {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.units[i]
	u.state = s
	return u
}

// Stop ends a host as planned, and reports whether all its work finished.
func (f *Fleet) Stop(ctx context.Context, i int) bool {
	u := f.mark(i, Stopped)
	clean := u.host.Stop(ctx)
	<-u.ended
	u.cancel()
	return clean
}

// Restart starts a host that has ended, as a new life.
func (f *Fleet) Restart(i int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.units[i]
	at := node(u.settings.Host.ID, u.settings.OwnHall().ID)
	web, err := f.config.Cell.Network.Listen(at, u.settings.Host.HTTPAddress)
	if err != nil {
		return err
	}
	inner, err := f.config.Cell.Network.Listen(at, u.settings.Host.PeerAddress)
	if err != nil {
		_ = web.Close()
		return err
	}
	f.run(u, web, inner)
	return nil
}

// Close ends all hosts.
func (f *Fleet) Close() {
	f.mu.Lock()
	units := append([]*unit(nil), f.units...)
	f.mu.Unlock()
	for _, u := range units {
		u.cancel()
		<-u.ended
	}
}

// States returns the HTTP addresses and states of all hosts.
func (f *Fleet) States() ([]string, []State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var a []string
	var s []State
	for _, u := range f.units {
		a = append(a, u.settings.Host.HTTPAddress)
		s = append(s, u.state)
	}
	return a, s
}

// ConfigVersions returns the version of the configuration in force at each host
// that runs and is sure of it.
func (f *Fleet) ConfigVersions() map[spoolsill.HostID]spoolsill.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[spoolsill.HostID]spoolsill.Version{}
	for _, u := range f.units {
		if u.state == Running {
			if v, sure := u.host.SyncedConfigVersion(); sure {
				out[u.settings.Host.ID] = v
			}
		}
	}
	return out
}

// ExternalNode is where callers, operators and the balancer are.
var ExternalNode = standin.Node{
	Name:  "outside",
	Place: "outside",
}

// HTTPClient returns a client that calls from outside.
func (f *Fleet) HTTPClient() *http.Client {
	const idle = 64
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         f.config.Cell.Network.Dialer(ExternalNode),
			MaxIdleConnsPerHost: idle,
		},
	}
}

// OperatorClient returns an operators' client that tries all hosts.
func (f *Fleet) OperatorClient() *api.Client {
	a, _ := f.States()
	return &api.Client{
		Hosts:      a,
		HTTPClient: f.HTTPClient(),
	}
}

// WaitReady waits until every hall has a holder that answers and every host is
// ready.
func (f *Fleet) WaitReady(ctx context.Context) error {
	c := f.OperatorClient()
	defer c.HTTPClient.CloseIdleConnections()
	for {
		hosts, err := c.ListHosts(ctx)
		if err == nil && f.ready(hosts) {
			return nil
		}
		pause.For(ctx, 50*time.Millisecond)
		if ctx.Err() != nil {
			return eris.Wrap(errors.Join(ctx.Err(), err), "hosts are not ready")
		}
	}
}

func (f *Fleet) ready(h api.Hosts) bool {
	holders := 0
	for _, x := range h.Hosts {
		if x.UnreachableReason != "" || !x.MembersKnown {
			return false
		}
		if x.Placing {
			holders++
		}
	}
	return holders == len(f.config.Halls)
}

// PlatformUnresponsive reports whether the platform is silent for a host of a hall.
func (f *Fleet) PlatformUnresponsive(hall spoolsill.HallID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.units {
		if u.state == Running && u.settings.OwnHall().ID == hall && u.host.PlatformUnresponsive() {
			return true
		}
	}
	return false
}

// Holder returns the index of the host that holds a hall, if one does.
func (f *Fleet) Holder(hall spoolsill.HallID) (int, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, u := range f.units {
		if u.state == Running && u.settings.OwnHall().ID == hall && u.host.HoldsLease() {
			return i, true
		}
	}
	return 0, false
}
