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

// Times of the heartbeats between the hosts of a hall.
const (
	beatEvery = 500 * time.Millisecond
	quietFor  = 1500 * time.Millisecond // after which a host counts as silent
)

// seen is what the last heartbeat of another host said.
type seen struct {
	at          time.Time
	incarnation spoolsill.Incarnation
	version     spoolsill.Version
	silent      bool
}

type wireBeat struct {
	Version  spoolsill.Version `msgpack:"v"`
	Leaving  []string          `msgpack:"l"`
	Stopping bool              `msgpack:"s"`
	// ReadAge is how long ago the newest configuration was read from the
	// table, as far as the sender knows; it is below 0 when it never was.
	ReadAge time.Duration `msgpack:"r"`
}

// beat sends heartbeats to the hall's other hosts until ctx ends.
func (h *Host) beat(ctx context.Context) {
	for ctx.Err() == nil {
		for _, x := range h.others() {
			go h.beatTo(ctx, x)
		}
		h.noteSilence()
		pause.For(ctx, beatEvery-beatEvery/10+rand.N(beatEvery/5))
	}
}

func (h *Host) beatTo(ctx context.Context, to spoolsill.HostID) {
	asked := time.Now()
	r, err := call[wireBeat](ctx, h, to, methodBeat, h.ownBeat())
	if err != nil {
		return
	}
	h.learn(ctx, to, 0, r)
	if r.ReadAge >= 0 && h.ConfigVersion() >= r.Version {
		h.readAt(asked.Add(-r.ReadAge))
	}
}

func (h *Host) ownBeat() wireBeat {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := wireBeat{
		Version:  h.store.Current().Version,
		Leaving:  h.view.Leaving(),
		Stopping: h.stopping.Load(),
		ReadAge:  -1,
	}
	if !h.read.IsZero() {
		b.ReadAge = time.Since(h.read)
	}
	return b
}

func (h *Host) takeBeat(ctx context.Context, c peer.Caller, q wireBeat) (wireBeat, error) {
	h.learn(ctx, c.Host, c.Incarnation, q)
	return h.ownBeat(), nil
}

// learn takes in what another host of the hall says.
func (h *Host) learn(ctx context.Context, from spoolsill.HostID, life spoolsill.Incarnation, b wireBeat) {
	now := time.Now()
	news := false
	h.mu.Lock()
	s := h.beats[from]
	back := s.silent
	reborn := life != 0 && s.incarnation != 0 && life != s.incarnation
	s.at = now
	s.silent = false
	s.version = b.Version
	if life != 0 {
		s.incarnation = life
	}
	h.beats[from] = s
	for _, id := range b.Leaving {
		news = h.view.SetLeaving(now, id) || news
	}
	behind := b.Version > h.store.Current().Version
	h.store.RaiseMinVersion(b.Version)
	h.mu.Unlock()
	if reborn {
		h.event(timeline.KindMembership, "host "+string(from)+" has restarted")
		h.holder.Forgot()
	}
	if back {
		h.event(timeline.KindMembership, "host "+string(from)+" is heard again")
	}
	if news {
		h.event(timeline.KindMembership, "host "+string(from)+" knows of machines that leave")
		h.applyMembers()
	}
	if behind {
		h.fetchConfig(ctx, from)
	}
}

func (h *Host) noteSilence() {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, s := range h.beats {
		if s.silent || now.Sub(s.at) < quietFor {
			continue
		}
		s.silent = true
		h.beats[id] = s
		h.event(timeline.KindMembership, "host "+string(id)+" is silent")
	}
}
