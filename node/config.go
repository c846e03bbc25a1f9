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
	// defaultConfigInForce is the time within which a configuration must be in force on
	// every host, unless the settings specify another one.
	defaultConfigInForce = 2 * time.Second
	// configFeedWait is how long one call of the feed waits for a new configuration. A
	// host's information is at most as old as two of these calls. A host reports a route
	// as unknown only if its information is at most defaultConfigInForce old: with 1 s,
	// it was too old for one request in a hundred.
	configFeedWait = 700 * time.Millisecond
	// configFeedSpacing is the average time between calls of the feeds of all hosts together,
	// as far as maxConfigFeedShare allows: the store's capacity is shared by all hosts.
	configFeedSpacing = 4 * time.Millisecond
	// maxConfigFeedShare is the maximum wait as a share of the time within which a
	// configuration must be in force.
	maxConfigFeedShare = 1.0 / 3
)

// configFeedWaitFor returns how long one call of the feed waits in a cell of n hosts: each of
// them makes such calls all the time.
func configFeedWaitFor(n int, inForce time.Duration) time.Duration {
	longest := time.Duration(maxConfigFeedShare * float64(inForce))
	return max(configFeedWait, min(time.Duration(n)*configFeedSpacing, longest))
}

// A knownConfig is a decoded configuration along with its encoded form.
type knownConfig struct {
	version spoolsill.Version
	raw     []byte
	config  *platform.Config
}

// A configTracker holds the newest known configuration and tracks whether it is up to
// date. The version never decreases. It is safe for concurrent use.
type configTracker struct {
	mu sync.Mutex
	// latest is the newest configuration; requestedAt is when another host last
	// requested a piece of it.
	latest      knownConfig
	requestedAt time.Time
	// previous are the replaced configurations that other hosts are still fetching,
	// oldest first.
	previous []previousConfig
	// newestKnown is the newest version that another host has reported; this host has
	// been behind since behindSince.
	newestKnown spoolsill.Version
	behindSince time.Time
	// offer identifies a host that has a newer version; zero if none is known.
	offer offer
	// rejected is the newest version that was fetched and could not be decoded.
	rejected spoolsill.Version
	// feedInvalid is set while the last configuration from the store could not be
	// decoded.
	feedInvalid bool
	// confirmedAt is the time up to which all changes are known, from the store or from
	// a host that reaches it; zero before the first response.
	confirmedAt time.Time
	// feedFailed is set if the latest call of the store's feed failed.
	feedFailed bool
	// offerSignal receives a value when a host has offered a newer version.
	offerSignal chan struct{}
}

func newConfigTracker() *configTracker {
	return &configTracker{
		offerSignal: make(chan struct{}, 1),
	}
}

func (c *configTracker) get() knownConfig {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.latest
}

// set stores a configuration and reports whether it is newer.
func (c *configTracker) set(k knownConfig, now time.Time) bool {
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
func (c *configTracker) setFeedInvalid(invalid bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.feedInvalid = invalid
}

// confirm records that all changes up to the given time are known.
func (c *configTracker) confirm(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmLocked(t)
}

func (c *configTracker) confirmLocked(t time.Time) {
	if !c.feedInvalid && t.After(c.confirmedAt) {
		c.confirmedAt = t
	}
}

func (c *configTracker) setFeedFailed(failed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.feedFailed = failed
}

// newest returns the newest version that is known to exist.
func (c *configTracker) newest() spoolsill.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.newestKnown, c.latest.version)
}

// age returns the maximum age of the information about the configuration, or false if
// there is none.
func (c *configTracker) age(now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.confirmedAt), !c.confirmedAt.IsZero()
}

// applyTo passes the current queues and teams to a leader.
func (c *configTracker) applyTo(l *leader.Leader) {
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
func (c *configTracker) isCurrent(v spoolsill.Version, now time.Time, within time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return v == c.latest.version && c.newestKnown <= v && !c.confirmedAt.IsZero() && now.Sub(c.confirmedAt) <= within
}

// ConfigIsCurrent implements [platform.JobService].
func (n *Node) ConfigIsCurrent(v spoolsill.Version) bool {
	return n.configs.isCurrent(v, n.clock.Now(), n.configInForce())
}

// configInForce returns the time within which a configuration must be in force.
func (n *Node) configInForce() time.Duration {
	return cmp.Or(n.settings.Bounds.ConfigInForce, defaultConfigInForce)
}

// followConfig follows the operators' configuration and evacuations in the store.
func (n *Node) followConfig(ctx context.Context) {
	applyRow := func(r store.Row) {
		if r.Key.Name == platform.ConfigRow && !r.Deleted {
			n.configs.setFeedInvalid(!n.applyConfig(r.Value, "store"))
		}
	}
	w := store.Watcher{
		Store:  n.store,
		Table:  platform.OperatorTable,
		Wait:   configFeedWait,
		Synced: n.configs.confirm,
		LongerWait: func() time.Duration {
			return configFeedWaitFor(n.estimatedHosts(), n.configInForce())
		},
		Clock: n.clock,
		Listed: func(rows []store.Row) {
			n.log.WithField("rows", len(rows)).Info("configuration table listed")
			n.evacuations.list(rows)
			n.applyEvacuations()
			for _, r := range rows {
				applyRow(r)
			}
		},
		Changed: func(r store.Row) {
			if n.evacuations.apply(r) {
				n.applyEvacuations()
			}
			applyRow(r)
		},
		Failed: func(err error) {
			n.configs.setFeedFailed(err != nil)
			if err != nil {
				n.log.WithError(err).Warn("configuration feed lost")
				return
			}
			n.log.Info("configuration feed regained")
		},
	}
	w.Run(ctx)
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

// logTeamFaults logs probable mistakes in the teams of a configuration, such as teams
// without keys.
func (n *Node) logTeamFaults(c *platform.Config) {
	if c.Keys == nil {
		return
	}
	for _, f := range c.Keys.Faults() {
		n.log.WithField("version", uint64(c.Version)).WithField("team", string(f.Team)).WithField("fault", f.Text).Warn("team's configuration is at fault")
	}
}
