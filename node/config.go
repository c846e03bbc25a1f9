package node

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/leader"
	"github.com/spoolsill/spoolsill/platform"
	"github.com/spoolsill/spoolsill/store"
)

// configWait is how long a feed waits for a configuration: half of the two
// seconds within which one must be in force, since a feed that was cut without
// a sign is noticed only after it.
const configWait = time.Second

// configInForce is within how long a configuration is in force everywhere, where
// the settings do not say it.
const configInForce = 2 * time.Second

// knownConfig is a configuration as it was read.
type knownConfig struct {
	version spoolsill.Version
	raw     []byte
	config  *platform.Config
}

// A heldConfig is what a host tells another one about its configuration. It is
// small, and so part of heartbeats, which the document itself must not be: that
// takes a link of 10 Mbit/s a second, and a heartbeat is waited for a tenth of one.
type heldConfig struct {
	Version spoolsill.Version
	// Size is that of the document, in bytes.
	Size int
	// Heard tells that the store, or a host that it reaches, has told that Version
	// was the newest one Age ago.
	Heard bool
	Age   time.Duration
}

// An offer is a configuration that another host has.
type offer struct {
	host    spoolsill.HostID
	version spoolsill.Version
	size    int       // bytes
	since   time.Time // when a host told of this version first
}

// configs holds the newest configuration, and what is known about how new it is.
// It never goes back.
type configs struct {
	mu  sync.Mutex
	now knownConfig
	// offer is the newest version that another host has told of.
	offer offer
	// heard is as of when all changes are known, from the store or from a host
	// that it reaches; zero before the first answer.
	heard time.Time
	// deaf tells that the latest call of the store's feed failed.
	deaf bool
	// offered has a value when a host has told of a newer version.
	offered chan struct{}
}

func newConfigs() *configs {
	return &configs{
		offered: make(chan struct{}, 1),
	}
}

func (c *configs) get() knownConfig {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// set takes a configuration in and reports whether it is newer.
func (c *configs) set(k knownConfig) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k.version <= c.now.version {
		return false
	}
	c.now = k
	return true
}

// hear takes in that all changes before a time are known.
func (c *configs) hear(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hearLocked(at)
}

func (c *configs) hearLocked(at time.Time) {
	if at.After(c.heard) {
		c.heard = at
	}
}

func (c *configs) setDeaf(deaf bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deaf = deaf
}

// held returns what to tell other hosts.
func (c *configs) held(now time.Time) heldConfig {
	c.mu.Lock()
	defer c.mu.Unlock()
	return heldConfig{
		Version: c.now.version,
		Size:    len(c.now.raw),
		Heard:   !c.heard.IsZero(),
		Age:     now.Sub(c.heard),
	}
}

// toldBy takes in what another host holds.
func (c *configs) toldBy(h spoolsill.HostID, x heldConfig, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if x.Heard && x.Version <= c.now.version {
		c.hearLocked(now.Add(-x.Age))
	}
	if x.Version < c.offer.version || x.Version <= c.now.version {
		return
	}
	since := now
	if x.Version == c.offer.version {
		since = c.offer.since
	}
	c.offer = offer{
		host:    h,
		version: x.Version,
		size:    x.Size,
		since:   since,
	}
	select {
	case c.offered <- struct{}{}:
	default:
	}
}

// newest returns the newest version that is known to exist.
func (c *configs) newest() spoolsill.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.offer.version, c.now.version)
}

// age returns how old what is known is, at most; false before anything is.
func (c *configs) age(now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.heard), !c.heard.IsZero()
}

// tell has a leader take in the queues that are in force.
func (c *configs) tell(l *leader.Leader) {
	k := c.get()
	if k.config != nil {
		l.SetQueues(k.version, k.config.Queues())
	}
}

// Config implements [platform.Jobs].
func (n *Node) Config() (*platform.Config, bool) {
	k := n.configs.get()
	return k.config, k.config != nil
}

// ConfigIsCurrent implements [platform.Jobs].
func (n *Node) ConfigIsCurrent() bool {
	age, ok := n.configs.age(time.Now())
	within := cmp.Or(n.settings.Bounds.ConfigInForce, configInForce)
	return ok && age <= within && n.configs.newest() == n.configs.get().version
}

// followConfig keeps up with the operators' configuration.
func (n *Node) followConfig(ctx context.Context) {
	take := func(r store.Row) {
		if r.Key.Name == platform.ConfigRow && !r.Deleted {
			n.takeConfig(r.Value, "store")
		}
	}
	f := store.Follower{
		Store: n.store,
		Table: platform.OperatorTable,
		Wait:  configWait,
		Heard: n.configs.hear,
		Listed: func(rows []store.Row) {
			n.log.WithField("rows", len(rows)).Info("configuration table listed")
			for _, r := range rows {
				take(r)
			}
		},
		Changed: take,
		Failed: func(err error) {
			n.configs.setDeaf(err != nil)
			if err != nil {
				n.log.WithError(err).Warn("configuration feed lost")
				return
			}
			n.log.Info("configuration feed regained")
		},
	}
	f.Run(ctx)
}

// takeConfig puts a configuration in force if it is newer.
func (n *Node) takeConfig(raw []byte, from string) {
	c, err := platform.DecodeConfig(raw)
	if err != nil {
		n.log.WithError(err).Error("configuration can't be read")
		return
	}
	if !n.configs.set(knownConfig{
		version: c.Version,
		raw:     raw,
		config:  &c,
	}) {
		return
	}
	n.log.WithField("version", uint64(c.Version)).WithField("from", from).WithField("queues", len(c.Routes)).Info("configuration in force")
	if l := n.leaderHere(); l != nil {
		n.configs.tell(l)
	}
}
