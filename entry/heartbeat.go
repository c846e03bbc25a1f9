package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/peer"
	"github.com/spoolsill/spoolsill/timeline"
)

// Timing of the heartbeats between the hosts of a hall.
const (
	heartbeatInterval = 500 * time.Millisecond
	// heartbeatTimeout is how long after its last heartbeat or reply a host counts
	// as responsive.
	heartbeatTimeout = 1500 * time.Millisecond
)

// A peerState is what this host knows about another host of its hall from its
// heartbeats and its replies to heartbeats.
type peerState struct {
	lastHeard    time.Time
	incarnation  spoolsill.Incarnation // 0 until a heartbeat has arrived
	version      spoolsill.Version     // of the configuration in force
	unresponsive bool
}

// A heartbeat is both the message and the reply to it.
type heartbeat struct {
	Version  spoolsill.Version `msgpack:"v"` // of the configuration in force
	Leaving  []string          `msgpack:"l"` // ids of the machines known to be leaving
	Stopping bool              `msgpack:"s"`
	// ConfigAge is the time since the newest configuration was last read from
	// the table, as far as the sender knows; it is negative if it never was.
	ConfigAge time.Duration `msgpack:"r"`
}

// sendHeartbeats periodically sends heartbeats to the hall's other hosts and
// checks for hosts that have become unresponsive, until ctx is done.
func (h *Host) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		for _, x := range h.hallPeers() {
			go h.sendHeartbeat(ctx, x)
		}
		h.markUnresponsive()
		pause.For(ctx, heartbeatInterval-heartbeatInterval/10+rand.N(heartbeatInterval/5))
	}
}

func (h *Host) sendHeartbeat(ctx context.Context, to spoolsill.HostID) {
	sentAt := time.Now()
	r, err := callPeer[heartbeat](ctx, h, to, methodHeartbeat, h.newHeartbeat())
	if err != nil {
		return
	}
	h.applyHeartbeat(ctx, to, 0, r)
	if r.ConfigAge >= 0 && h.ConfigVersion() >= r.Version {
		h.recordConfigRead(sentAt.Add(-r.ConfigAge))
	}
}

func (h *Host) newHeartbeat() heartbeat {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := heartbeat{
		Version:   h.configStore.Current().Version,
		Leaving:   h.members.Leaving(),
		Stopping:  h.stopping.Load(),
		ConfigAge: -1,
	}
	if !h.configReadAt.IsZero() {
		b.ConfigAge = time.Since(h.configReadAt)
	}
	return b
}

func (h *Host) handleHeartbeat(ctx context.Context, c peer.Caller, q heartbeat) (heartbeat, error) {
	h.applyHeartbeat(ctx, c.Host, c.Incarnation, q)
	return h.newHeartbeat(), nil
}

// applyHeartbeat updates the state of another host of the hall from a heartbeat
// or the reply to one. senderIncarnation is 0 if it is not known, as in replies.
func (h *Host) applyHeartbeat(ctx context.Context, from spoolsill.HostID, senderIncarnation spoolsill.Incarnation, b heartbeat) {
	now := time.Now()
	leavingChanged := false
	h.mu.Lock()
	s := h.peerStates[from]
	recovered := s.unresponsive
	restarted := senderIncarnation != 0 && s.incarnation != 0 && senderIncarnation != s.incarnation
	s.lastHeard = now
	s.unresponsive = false
	s.version = b.Version
	if senderIncarnation != 0 {
		s.incarnation = senderIncarnation
	}
	h.peerStates[from] = s
	for _, id := range b.Leaving {
		leavingChanged = h.members.SetLeaving(now, id) || leavingChanged
	}
	outdated := b.Version > h.configStore.Current().Version
	h.configStore.RaiseMinVersion(b.Version)
	h.mu.Unlock()
	if restarted {
		h.recordEvent(timeline.KindMembership, "host "+string(from)+" has restarted")
		h.holder.PeerRestarted()
	}
	if recovered {
		h.recordEvent(timeline.KindMembership, "host "+string(from)+" is heard again")
	}
	if leavingChanged {
		h.recordEvent(timeline.KindMembership, "host "+string(from)+" knows of machines that leave")
		h.updateRunners()
	}
	if outdated {
		h.fetchConfig(ctx, from)
	}
}

// markUnresponsive records which hosts have become unresponsive.
func (h *Host) markUnresponsive() {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, s := range h.peerStates {
		if s.unresponsive || now.Sub(s.lastHeard) < heartbeatTimeout {
			continue
		}
		s.unresponsive = true
		h.peerStates[id] = s
		h.recordEvent(timeline.KindMembership, "host "+string(id)+" is silent")
	}
}
