package node

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/leader"
	"github.com/spoolsill/spoolsill/platform"
	"github.com/spoolsill/spoolsill/store"
)

const (
	// configInForce is within how long a configuration is in force everywhere, where
	// the settings do not say it.
	configInForce = 2 * time.Second
	// configWait is how long a feed waits for a configuration. What a host knows is
	// as old as two of its calls, at most, and must be less old than configInForce,
	// or the host could not say of any route that there is none: with a second it
	// could not for one call in a hundred.
	configWait = 700 * time.Millisecond
)

// knownConfig is a configuration as it was read.
type knownConfig struct {
	version spoolsill.Version
	raw     []byte
	config  *platform.Config
}

// configs holds the newest configuration, and what is known about how new it is.
// It never goes back.
type configs struct {
	mu sync.Mutex
	// now is the newest configuration; a piece of it was asked for last at asked.
	now   knownConfig
	asked time.Time
	// former are earlier ones that other hosts fetch piece by piece, oldest first.
	former []formerConfig
	// told is the newest version that any host has told of; this host has been
	// behind since toldSince.
	told      spoolsill.Version
	toldSince time.Time
	// offer is where a newer one can be had, if anywhere.
	offer offer
	// refused is the newest version that was fetched and can't be read.
	refused spoolsill.Version
	// misread tells that what the store told last can't be read.
	misread bool
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
func (c *configs) set(k knownConfig, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k.version <= c.now.version {
		return false
	}
	c.keepFormer(now)
	c.now = k
	c.asked = time.Time{}
	return true
}

// setMisread takes in whether what the store told last can't be read.
func (c *configs) setMisread(misread bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.misread = misread
}

// hear takes in that all changes before a time are known.
func (c *configs) hear(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hearLocked(at)
}

func (c *configs) hearLocked(at time.Time) {
	if !c.misread && at.After(c.heard) {
		c.heard = at
	}
}

func (c *configs) setDeaf(deaf bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deaf = deaf
}

// newest returns the newest version that is known to exist.
func (c *configs) newest() spoolsill.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.told, c.now.version)
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
		l.SetConfig(k.version, k.config.Queues(), k.config.Teams)
	}
}

// Config implements [platform.JobService].
func (n *Node) Config() (*platform.Config, bool) {
	k := n.configs.get()
	return k.config, k.config != nil
}

// current reports whether a version is certainly the newest one, as of some time
// ago at most.
func (c *configs) current(v spoolsill.Version, now time.Time, within time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return v == c.now.version && c.told <= v && !c.heard.IsZero() && now.Sub(c.heard) <= within
}

// ConfigIsCurrent implements [platform.JobService].
func (n *Node) ConfigIsCurrent(v spoolsill.Version) bool {
	return n.configs.current(v, n.clock.Now(), cmp.Or(n.settings.Bounds.ConfigInForce, configInForce))
}

// followConfig keeps up with the operators' configuration.
func (n *Node) followConfig(ctx context.Context) {
	take := func(r store.Row) {
		if r.Key.Name == platform.ConfigRow && !r.Deleted {
			n.configs.setMisread(!n.takeConfig(r.Value, "store"))
		}
	}
	f := store.Watcher{
		Store:  n.store,
		Table:  platform.OperatorTable,
		Wait:   configWait,
		Synced: n.configs.hear,
		Clock:  n.clock,
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

// takeConfig puts a configuration in force if it is newer, and reports whether it
// can be read.
func (n *Node) takeConfig(raw []byte, from string) bool {
	c, err := platform.DecodeConfig(raw)
	if err != nil {
		n.log.WithError(err).WithField("from", from).Error("configuration can't be read")
		return false
	}
	if !n.configs.set(knownConfig{
		version: c.Version,
		raw:     raw,
		config:  &c,
	}, n.clock.Now()) {
		return true
	}
	n.log.WithFields(logrus.Fields{
		"version": uint64(c.Version),
		"from":    from,
		"queues":  len(c.Routes),
		"teams":   len(c.Teams),
	}).Info("configuration in force")
	n.logFaults(&c)
	if l := n.leaderHere(); l != nil {
		n.configs.tell(l)
	}
	return true
}

// logFaults tells of what in a configuration is surely not meant so.
func (n *Node) logFaults(c *platform.Config) {
	if c.Keys == nil {
		return
	}
	for _, f := range c.Keys.Faults() {
		n.log.WithField("version", uint64(c.Version)).WithField("team", string(f.Team)).WithField("fault", f.Text).Warn("team's configuration is at fault")
	}
}
