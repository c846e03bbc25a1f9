package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/api"
	"github.com/spoolsill/spoolsill/entry"
	"github.com/spoolsill/spoolsill/internal/standin"
	"github.com/spoolsill/spoolsill/settings"
)

// A hostUnit is one entry host and what is needed to end it and start it
// again.
type hostUnit struct {
	settings settings.Settings
	host     *entry.Host
	cancel   context.CancelFunc
	ended    chan struct{}
	state    hostState
}

type hostState int

const (
	hostUp hostState = iota
	hostDown
	hostStopped
)

// A fleet is the entry hosts of a deployment.
type fleet struct {
	cell *standin.Cell
	log  logrus.FieldLogger

	mu    sync.Mutex
	hosts []*hostUnit
}

const hostsPerHall = 2

// newFleet starts the entry hosts of all halls.
func newFleet(c *standin.Cell, halls []spoolsill.HallID, service settings.Service) (*fleet, error) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &fleet{
		cell: c,
		log:  log,
	}
	base, listeners, err := layout(c, halls, service)
	if err != nil {
		return nil, err
	}
	for _, h := range base.Halls {
		for _, p := range h.Hosts {
			s := base
			s.Host.ID = p.ID
			s.Host.HTTP = p.HTTP
			s.Host.Peer = p.Peer
			u := &hostUnit{
				settings: s,
			}
			f.hosts = append(f.hosts, u)
			f.run(u, listeners[p.HTTP], listeners[p.Peer])
		}
	}
	return f, nil
}

// layout lays out the addresses of all hosts and listens on them.
func layout(c *standin.Cell, halls []spoolsill.HallID, service settings.Service) (settings.Settings, map[string]net.Listener, error) {
	s := settings.Settings{
		Host: settings.Host{
			DrainDelay: settings.Duration(300 * time.Millisecond),
			StopWithin: settings.Duration(20 * time.Second),
		},
		Platform: settings.Platform{
			URL:     c.URL,
			Timeout: settings.Duration(500 * time.Millisecond),
			Reads:   100,
			Writes:  100,
		},
		Services: []settings.Service{service},
		Lease: settings.Lease{
			Hall: settings.Duration(2 * time.Second),
			Task: settings.Duration(6 * time.Second),
		},
	}
	listeners := map[string]net.Listener{}
	listen := func(hall spoolsill.HallID) (string, error) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		a := l.Addr().String()
		listeners[a] = l
		c.Network.Place(a, string(hall))
		return a, nil
	}
	for _, id := range halls {
		h := settings.Hall{
			ID: id,
		}
		for i := range hostsPerHall {
			web, err := listen(id)
			if err != nil {
				return s, nil, err
			}
			inner, err := listen(id)
			if err != nil {
				return s, nil, err
			}
			h.Hosts = append(h.Hosts, settings.Peer{
				ID:   spoolsill.HostID(fmt.Sprintf("%s-%d", id, i+1)),
				HTTP: web,
				Peer: inner,
			})
		}
		s.Halls = append(s.Halls, h)
	}
	return s, listeners, nil
}

func (f *fleet) run(u *hostUnit, web, inner net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	u.cancel = cancel
	u.ended = make(chan struct{})
	u.state = hostUp
	u.host = entry.New(entry.Config{
		Settings: u.settings,
		Log:      f.log,
		Dial:     f.cell.Network.Dialer(string(u.settings.Own().ID)),
		HTTP:     web,
		Peer:     inner,
	})
	h := u.host
	ended := u.ended
	go func() {
		defer close(ended)
		if err := h.Run(ctx); err != nil {
			f.cell.Truth.Break(standin.PlannedStop, "host %s could not run: %s", u.settings.Host.ID, err)
		}
	}()
}

// kill ends a host as if its process had died.
func (f *fleet) kill(i int) spoolsill.HostID {
	f.mu.Lock()
	u := f.hosts[i]
	u.state = hostDown
	f.mu.Unlock()
	u.cancel()
	<-u.ended
	return u.settings.Host.ID
}

// drain ends a host as planned.
func (f *fleet) drain(ctx context.Context, i int) (spoolsill.HostID, bool) {
	f.mu.Lock()
	u := f.hosts[i]
	u.state = hostStopped
	f.mu.Unlock()
	clean := u.host.Stop(ctx)
	<-u.ended
	u.cancel()
	return u.settings.Host.ID, clean
}

// restart starts a host that has ended, as a new life.
func (f *fleet) restart(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.run(f.hosts[i], nil, nil)
}

func (f *fleet) close() {
	f.mu.Lock()
	hosts := append([]*hostUnit(nil), f.hosts...)
	f.mu.Unlock()
	for _, u := range hosts {
		u.cancel()
		<-u.ended
	}
}

// web returns the HTTP addresses and states of all hosts.
func (f *fleet) web() ([]string, []hostState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var a []string
	var s []hostState
	for _, u := range f.hosts {
		a = append(a, u.settings.Host.HTTP)
		s = append(s, u.state)
	}
	return a, s
}

// live returns the hosts that run, with the version of the configuration that
// each has in force.
func (f *fleet) versions() map[spoolsill.HostID]spoolsill.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[spoolsill.HostID]spoolsill.Version{}
	for _, u := range f.hosts {
		if u.state == hostUp {
			out[u.settings.Host.ID] = u.host.ConfigVersion()
		}
	}
	return out
}

// client returns an operators' client that tries all hosts.
func (f *fleet) client() *api.Client {
	a, _ := f.web()
	return &api.Client{
		Hosts: a,
	}
}

// waitReady waits until every hall has a holder and every host is ready.
func (f *fleet) waitReady(ctx context.Context, halls int) error {
	for {
		hosts, err := f.client().ListHosts(ctx)
		if err == nil && ready(hosts, halls) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("hosts are not ready: %w", errors.Join(ctx.Err(), err))
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func ready(h api.Hosts, halls int) bool {
	holders := 0
	for _, x := range h.Hosts {
		if x.Unreachable != "" || !x.Members {
			return false
		}
		if x.Holds {
			holders++
		}
	}
	return holders == halls
}

func isReady(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}
