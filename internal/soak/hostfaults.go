package soak

import (
	"time"
)

// configTime is how long a host may take to have a configuration in force, from the
// acknowledgement by the store or the end of the host's last fault. It is twice the limit of
// the largest deployments, since the hosts share the processors of one machine. A slow link
// needs 3.2 s for four documents of the largest size, which is how many are written in quick
// succession.
const configTime = 6 * time.Second

// A faultHistory is what a Checker knows of the faults of one host.
type faultHistory struct {
	activeFaults   int // number of faults that have not ended
	lastFaultEnd   time.Time
	newestReported int // newest version that was reported as missing
}

// ConfigAcked records when the store acknowledged a configuration.
func (c *Checker) ConfigAcked(version int, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.configAckedAt[version] = at
}

// FaultBegins records that a fault has begun that affects a host, its connections to the
// store, or the store.
func (c *Checker) FaultBegins(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faultsOf(host).activeFaults++
}

// FaultEnds records that a fault reported by FaultBegins has ended.
func (c *Checker) FaultEnds(host string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.faultsOf(host)
	h.activeFaults--
	h.lastFaultEnd = at
}

func (c *Checker) faultsOf(host string) *faultHistory {
	h := c.hostFaults[host]
	if h == nil {
		h = &faultHistory{
			lastFaultEnd: c.startTime,
		}
		c.hostFaults[host] = h
	}
	return h
}

// ConfigMissing records that the answer of a host to a request sent at the given time shows
// that a version is not in force there. This is a violation, reported once for each
// version, if the host has had configTime to apply the version.
func (c *Checker) ConfigMissing(host string, version int, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.faultsOf(host)
	since := c.configAckedAt[version]
	if h.lastFaultEnd.After(since) {
		since = h.lastFaultEnd
	}
	if h.activeFaults > 0 || sent.Sub(since) <= configTime || version <= h.newestReported {
		return
	}
	h.newestReported = version
	c.recordViolation("host %s does not have configuration %d in force, %.1f s after it was acknowledged and %.1f s after the end of the last fault of the host", host, version, sent.Sub(c.configAckedAt[version]).Seconds(), sent.Sub(h.lastFaultEnd).Seconds())
}
