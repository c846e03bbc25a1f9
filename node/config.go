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
	// defaultConfigInForce is how soon a configuration is in force on every host unless
	// the settings specify another time.
	defaultConfigInForce = 2 * time.Second
	// configFeedWait is how long one call of the feed waits for a new configuration. A
	// host's information is at most as old as two of these calls, and must be less than
	// defaultConfigInForce old for the host to report a route as unknown: with 1 s it
	// could not for one call in a hundred.
	configFeedWait = 700 * time.Millisecond
)

// knownConfig is a decoded configuration along with its encoded form.
type knownConfig struct {
	version spoolsill.Version
	raw     []byte
	config  *platform.Config
}

// configs holds the newest known configuration and tracks whether it is up to date. The
// version never decreases.
type configs struct {
	mu sync.Mutex
	// latest is the newest configuration; requestedAt is when a host last requested a
	// piece of it.
	latest      knownConfig
	requestedAt time.Time
	// previous are the replaced configurations that other hosts are still fetching,
	// oldest first.
	previous []previousConfig
	// newestKnown is the newest version that another host has reported; this host has
	// been behind since behindSince.
	newestKnown spoolsill.Version
	behindSince time.Time
	// offer is where a newer version can be fetched; zero if nowhere.
	offer offer
	// rejected is the newest version that was fetched and could not be decoded.
	rejected spoolsill.Version
	// feedInvalid is set while the last configuration from the store could not be
	// decoded.
	feedInvalid bool
	// confirmedAt is the time before which all changes are known, from the store or
	// from a host that reaches it; zero before the first response.
	confirmedAt time.Time
	// feedFailed is set if the latest call of the store's feed failed.
	feedFailed bool
	// offerSignal receives a value when a host has offered a newer version.
	offerSignal chan struct{}
}

func newConfigs() *configs {
	return &configs{
		offerSignal: make(chan struct{}, 1),
	}
}

func (c *configs) get() knownConfig {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.latest
}

// set stores a configuration and reports whether it is newer.
func (c *configs) set(k knownConfig, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k.version <= c.latest.version {
		return false
	}
	c.retainPrevious(now)
	c.latest = k
	c.requestedAt = time.Time{}
	return true
}

// setFeedInvalid records whether the last configuration from the store could not be
// decoded.
func (c *configs) setFeedInvalid(invalid bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.feedInvalid = invalid
}

// confirm records that all changes before a time are known.
func (c *configs) confirm(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmLocked(t)
}

func (c *configs) confirmLocked(t time.Time) {
	if !c.feedInvalid && t.After(c.confirmedAt) {
		c.confirmedAt = t
	}
}

func (c *configs) setFeedFailed(failed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.feedFailed = failed
}

// newest returns the newest version that is known to exist.
func (c *configs) newest() spoolsill.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.newestKnown, c.latest.version)
}

// age returns the maximum age of the information about the configuration, or false if
// there is none.
func (c *configs) age(now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.confirmedAt), !c.confirmedAt.IsZero()
}

// applyTo passes the current queues and teams to a leader.
func (c *configs) applyTo(l *leader.Leader) {
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

// isCurrent reports whether v is known to have been the newest version at some time
// within the given duration before now.
func (c *configs) isCurrent(v spoolsill.Version, now time.Time, within time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return v == c.latest.version && c.newestKnown <= v && !c.confirmedAt.IsZero() && now.Sub(c.confirmedAt) <= within
}

// ConfigIsCurrent implements [platform.JobService].
func (n *Node) ConfigIsCurrent(v spoolsill.Version) bool {
	return n.configs.isCurrent(v, n.clock.Now(), cmp.Or(n.settings.Bounds.ConfigInForce, defaultConfigInForce))
}

// followConfig follows the operators' configuration in the store.
func (n *Node) followConfig(ctx context.Context) {
	take := func(r store.Row) {
		if r.Key.Name == platform.ConfigRow && !r.Deleted {
			n.configs.setFeedInvalid(!n.applyConfig(r.Value, "store"))
		}
	}
	f := store.Watcher{
		Store:  n.store,
		Table:  platform.OperatorTable,
		Wait:   configFeedWait,
		Synced: n.configs.confirm,
		Clock:  n.clock,
		Listed: func(rows []store.Row) {
			n.log.WithField("rows", len(rows)).Info("configuration table listed")
			for _, r := range rows {
				take(r)
			}
		},
		Changed: take,
		Failed: func(err error) {
			n.configs.setFeedFailed(err != nil)
			if err != nil {
				n.log.WithError(err).Warn("configuration feed lost")
				return
			}
			n.log.Info("configuration feed regained")
		},
	}
	f.Run(ctx)
}

// applyConfig puts a configuration in force if it is newer, and reports whether it
// could be decoded.
func (n *Node) applyConfig(raw []byte, from string) bool {
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
	n.logTeamFaults(&c)
	if l := n.localLeader(); l != nil {
		n.configs.applyTo(l)
	}
	return true
}

// logTeamFaults logs probable mistakes in the teams of a configuration.
func (n *Node) logTeamFaults(c *platform.Config) {
	if c.Keys == nil {
		return
	}
	for _, f := range c.Keys.Faults() {
		n.log.WithField("version", uint64(c.Version)).WithField("team", string(f.Team)).WithField("fault", f.Text).Warn("team's configuration is at fault")
	}
}
