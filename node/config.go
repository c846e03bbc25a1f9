package node

import (
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

// knownConfig is a configuration as it was read.
type knownConfig struct {
	version spoolsill.Version
	raw     []byte
	config  *platform.Config
}

// configs holds the newest configuration. It never goes back.
type configs struct {
	mu  sync.Mutex
	now knownConfig
	// told is the newest version that another host has told of.
	told spoolsill.Version
	// heard is when the store was asked for the latest answer that is taken in;
	// zero before the first.
	heard time.Time
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
func (c *configs) hear(sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heard = sent
}

// age returns how old what the store told is, at most; 0 before it told
// anything.
func (c *configs) age(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.heard.IsZero() {
		return 0
	}
	return now.Sub(c.heard)
}

// hearOf takes in the version that another host has.
func (c *configs) hearOf(v spoolsill.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.told = max(c.told, v)
}

// newest returns the newest version that is known to exist.
func (c *configs) newest() spoolsill.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.told, c.now.version)
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
