package node_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/internal/pause"
)

// A host that is cut off from the store must still learn of configurations and forward
// jobs after another host has taken over.
func TestHostWithoutTheStoreFindsTheNextLeader(t *testing.T) {
	run(t, 4, 1, func(x *cell) {
		former := x.leader()
		cut := 3 // hosts list those that started before them as peers
		if former == cut {
			cut = 2
		}
		x.network.SetPartitioned(hostName(cut), platformNode.Name, true)
		pause.For(x.ctx, 4*time.Second)
		x.c.Assert(x.call(cut, http.MethodGet, "/none/", "").status, qt.Equals, http.StatusNotFound)
		x.hosts[former].stop()
		pause.For(x.ctx, 8*time.Second)
		r := x.call(cut, http.MethodGet, "/none/", "")
		x.c.Check(r.status, qt.Equals, http.StatusNotFound, qt.Commentf("%v", r))
		r = x.call(cut, http.MethodPost, "/q/"+jobID(1), body)
		x.c.Check(r.status, qt.Equals, http.StatusOK, qt.Commentf("%v", r))
	})
}
