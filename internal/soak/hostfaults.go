package soak

import (
	"time"
)

// configTime is how long a host may take to have a configuration in force, from the
// acknowledgement by the store or from the host's last fault: twice the bound of the
// largest deployments, since the hosts share the processors of one machine. A slow link
// needs 3.2 s for four documents of the largest size, as many as are written in quick
// succession.
const configTime = 6 * time.Second

// A faultHistory is what a checker knows of the faults of one host.
type faultHistory struct {
	active      int // faults that have not ended
	lastHealed  time.Time
	lastMissing int // the newest version reported as not in force
}

// ConfigAcked records when the store acknowledged a configuration.
func (c *Checker) ConfigAcked(version int, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.configAckedAt[version] = at
}

// FaultBegins records that a fault of a host, of its connections to the store or of the
// store has begun.
func (c *Checker) FaultBegins(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faultsOf(host).active++
}

// FaultEnds records that one fault has ended.
func (c *Checker) FaultEnds(host string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.faultsOf(host)
	t.active--
	t.lastHealed = at
}

func (c *Checker) faultsOf(host string) *faultHistory {
	t := c.hostFaults[host]
	if t == nil {
		t = &faultHistory{
			lastHealed: c.began,
		}
		c.hostFaults[host] = t
	}
	return t
}

// ConfigMissing records that the answer of a host to a request sent at the given time shows
// that a version is not in force there. This is a violation, reported once for each
// version, if the host has had configTime to apply the version.
func (c *Checker) ConfigMissing(host string, version int, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.faultsOf(host)
	since := c.configAckedAt[version]
	if t.lastHealed.After(since) {
		since = t.lastHealed
	}
	if t.active > 0 || sent.Sub(since) <= configTime || version <= t.lastMissing {
		return
	}
	t.lastMissing = version
	c.violation("host %s does not have configuration %d in force, %.1f s after it was acknowledged and %.1f s after the last harm", host, version, sent.Sub(c.configAckedAt[version]).Seconds(), sent.Sub(t.lastHealed).Seconds())
}
