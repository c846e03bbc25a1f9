package node_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/pause"
)

// Guards against a leader whose link of 2 Mbit/s is saturated by calls that repeat the ids
// and addresses of earlier ones. Hosts on faster links don't spend processor time on that.
func TestHostsOnSlowLinksCompressTheirCalls(t *testing.T) {
	const hosts, workers, jobs = 5, 40, 400
	sent := map[spoolsill.Bytes]int{}
	for _, link := range []spoolsill.Bytes{smallLink, tinyLink} {
		run(t, hosts, workers, func(x *cell) {
			x.storeJobs(jobs, hosts)
			x.restartAll(hosts, link)
			pause.For(x.ctx, 20*time.Second)
			x.c.Check(x.workers.StartCount() >= 2*jobs, qt.IsTrue, qt.Commentf("%d starts", x.workers.StartCount()))
			for _, p := range []string{"peer renewlife", "peer renewgroup", "peer startof", "peer advise"} {
				sent[link] += x.sentFor(x.leader(), p)
			}
		})
	}
	qt.Check(t, sent[tinyLink] > 0 && sent[tinyLink] < sent[smallLink]/2, qt.IsTrue, qt.Commentf("leaders sent %v bytes by link", sent))
}
