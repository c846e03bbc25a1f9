package holder

import (
	"context"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/recordlog"
)

// joinWithin is how long after its start a host does not take the hall's lease
// over while it has not heard what the others keep. It is longer than most
// pauses and cuts; a hall whose other hosts are gone waits this long for its
// first decision after a restart, and no longer.
const joinWithin = 10 * time.Second

// join takes over the copies that the hall's other hosts keep, so that what
// only copies hold outlives the hosts that end one after another. What lasts
// has a copy at every host that was up: one of these tells it all. Where all
// hosts are new, they know it all together.
func (h *Holder) join(ctx context.Context) {
	for ctx.Err() == nil && !h.hasJoined() {
		heard := 0
		for _, x := range h.config.Hosts {
			if x == h.config.Host {
				continue
			}
			list, whole, err := h.config.Peers.Copies(ctx, x, recordlog.Position{})
			if err != nil {
				continue
			}
			heard++
			h.Copy(lastEpoch(list), 0, list)
			if whole {
				h.joined()
			}
		}
		if heard == len(h.config.Hosts)-1 {
			h.joined()
		}
		pause.For(ctx, leaseTick)
	}
}

func lastEpoch(list []recordlog.Entry) spoolsill.Epoch {
	if len(list) == 0 {
		return 0
	}
	return list[len(list)-1].Epoch
}

// joined notes that all is known here that lasts in the hall's memory.
func (h *Holder) joined() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.whole = true
	h.keeper.Joined()
}

func (h *Holder) hasJoined() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.whole
}
