package holder

import (
	"context"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/recordlog"
)

// joinTimeout is how long after its start a host waits for the copies of the
// other hosts before it may take over the hall's lease without them. It is
// longer than most process pauses and network partitions. If the other hosts
// are gone, it is also the delay before the first decision after a restart.
const joinTimeout = 10 * time.Second

// fetchCopies fetches the copies that the hall's other hosts keep, so that
// entries that exist only as copies survive when one host after another
// restarts. Every host that has not restarted keeps a copy of each durable entry
// that is missing from the table, so the response of one such host is
// sufficient. If all hosts have restarted, the responses of all other hosts are
// needed.
func (h *Holder) fetchCopies(ctx context.Context) {
	for ctx.Err() == nil && !h.hasJoined() {
		answered := 0
		for _, x := range h.config.Hosts {
			if x == h.config.Host {
				continue
			}
			list, complete, err := h.config.Peers.Copies(ctx, x, recordlog.Position{})
			if err != nil {
				continue
			}
			answered++
			h.KeepCopies(lastEpoch(list), 0, list)
			if complete {
				h.markJoined()
			}
		}
		if answered == len(h.config.Hosts)-1 {
			h.markJoined()
		}
		pause.For(ctx, leaseInterval)
	}
}

// lastEpoch returns the epoch of the last entry, or 0 if there is none.
func lastEpoch(list []recordlog.Entry) spoolsill.Epoch {
	if len(list) == 0 {
		return 0
	}
	return list[len(list)-1].Epoch
}

// markJoined records that this host knows all entries that any host of the hall
// keeps.
func (h *Holder) markJoined() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.copiesComplete = true
	h.keeper.MarkJoined()
}

func (h *Holder) hasJoined() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.copiesComplete
}
