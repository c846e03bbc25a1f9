package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/traffic"
)

// trafficEvery is how often a leader tells what its link carries.
const trafficEvery = 2 * time.Second

// watchTraffic tells what the link of this host carries while it leads: the leader's is
// the first to be full.
func (n *Node) watchTraffic(ctx context.Context) {
	last := n.traffic.Counts()
	for ctx.Err() == nil {
		pause.For(ctx, trafficEvery)
		counts := n.traffic.Counts()
		if n.leaderHere() != nil {
			n.log.WithFields(trafficFields(last, counts)).Info("traffic of the leader's link")
		}
		last = counts
	}
}

// trafficFields returns the bytes a second between two counts, by purpose and direction.
func trafficFields(last, counts map[traffic.Purpose]traffic.Count) logrus.Fields {
	f := logrus.Fields{}
	var sent, received uint64
	perSecond := uint64(trafficEvery / time.Second)
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
