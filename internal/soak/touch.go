package soak

import (
	"time"
)

// configTime is how long after its acknowledgement a configuration may not be in
// force at a host that nothing has harmed since: twice what the largest
// deployments allow, since hosts share the processors of one machine. A slow link
// needs 3.2 s for four documents of the largest size, as many as are written in
// quick succession.
const configTime = 6 * time.Second

// A touch is what a judge knows of the harm to one host.
type touch struct {
	harms  int // that go on
	healed time.Time
	missed int // the newest version that it was found without
}

// Configured takes in that the store has acknowledged a configuration.
func (j *Judge) Configured(version int, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.configured[version] = at
}

// HarmBegins takes in that a host, its connections to the store or the store is
// harmed from now on.
func (j *Judge) HarmBegins(host string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.touchOf(host).harms++
}

// HarmEnds takes in that one harm has ended.
func (j *Judge) HarmEnds(host string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	t := j.touchOf(host)
	t.harms--
	t.healed = at
}

func (j *Judge) touchOf(host string) *touch {
	t := j.touches[host]
	if t == nil {
		t = &touch{
			healed: j.began,
		}
		j.touches[host] = t
	}
	return t
}

// Misses takes in that a host has answered a request, sent at a time, as one that
// does not have a version in force. It breaks a promise, once for each version, when
// the host has had configTime to take the version in.
func (j *Judge) Misses(host string, version int, sent time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	t := j.touchOf(host)
	since := j.configured[version]
	if t.healed.After(since) {
		since = t.healed
	}
	if t.harms > 0 || sent.Sub(since) <= configTime || version <= t.missed {
		return
	}
	t.missed = version
	j.breach("host %s does not have configuration %d in force, %.1f s after it was acknowledged and %.1f s after the last harm", host, version, sent.Sub(j.configured[version]).Seconds(), sent.Sub(t.healed).Seconds())
}
