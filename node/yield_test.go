package node_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/internal/pause"
)

// startThird starts a third host with the given number of cores. The others have 0.4.
func (x *cell) startThird(cores float64) {
	x.cores = map[int]float64{
		2: cores,
	}
	x.start(2)
}

func TestSmallLeaderYieldsToALargeHost(t *testing.T) {
	run(t, 2, 2, func(x *cell) {
		x.startThird(0.8)
		pause.For(x.ctx, 2*time.Second)
		x.c.Check(x.leader(), qt.Equals, 2)
		r := x.call(0, http.MethodPost, "/q/"+jobID(1), body)
		x.c.Assert(r.status, qt.Equals, http.StatusOK)
		pause.For(x.ctx, 3*time.Second)
		x.c.Check(x.state(1, jobID(1)), qt.Equals, completed)
	})
}

func TestLeaderDoesNotYieldToHostOfSimilarSize(t *testing.T) {
	run(t, 2, 2, func(x *cell) {
		l := x.leader()
		x.startThird(0.7)
		pause.For(x.ctx, 5*time.Second)
		x.c.Check(x.leader(), qt.Equals, l)
	})
}

// A large host that is cut off from the store could not lead.
func TestLeaderDoesNotYieldToAHostWithoutTheStore(t *testing.T) {
	run(t, 2, 2, func(x *cell) {
		l := x.leader()
		x.network.SetPartitioned(hostName(2), platformNode.Name, true)
		x.startThird(0.8)
		pause.For(x.ctx, 5*time.Second)
		x.c.Check(x.leader(), qt.Equals, l)
		x.network.SetPartitioned(hostName(2), platformNode.Name, false)
		pause.For(x.ctx, 5*time.Second)
		x.c.Check(x.leader(), qt.Equals, 2)
	})
}
