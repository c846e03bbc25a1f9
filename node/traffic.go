package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/traffic"
)

// trafficInterval is how often a leader logs the traffic of its link.
const trafficInterval = 2 * time.Second

// logTraffic logs the traffic of this host's link while it leads, since the leader's
// link is the first to be saturated.
func (n *Node) logTraffic(ctx context.Context) {
	last := n.traffic.Counts()
	for ctx.Err() == nil {
		pause.For(ctx, trafficInterval)
		counts := n.traffic.Counts()
		if n.localLeader() != nil {
			n.log.WithFields(trafficFields(last, counts)).Info("traffic of the leader's link")
		}
		last = counts
	}
}

// trafficFields returns the bytes a second between two counts, by purpose and
// direction.
func trafficFields(last, counts map[traffic.Purpose]traffic.Count) logrus.Fields {
	f := logrus.Fields{}
	var sent, received uint64
	perSecond := uint64(trafficInterval / time.Second)
	for p, c := range counts {
		s := (c.Sent - last[p].Sent) / perSecond
		r := (c.Received - last[p].Received) / perSecond
		if s == 0 && r == 0 {
			continue
		}
		f[string(p)+" sent"] = s
		f[string(p)+" received"] = r
		sent += s
		received += r
	}
	f["sent"] = sent
	f["received"] = received
	return f
}
