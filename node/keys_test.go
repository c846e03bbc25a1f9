package node_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/internal/standin/wire"
)

// configureTeams writes a configuration with the queue at /q/ and the teams "a" and
// "b".
func (x *cell) configureTeams(version int, keysOfA ...string) {
	x.configureQuota(version, 0, keysOfA...)
}

// configureQuota is configureTeams with a quota in cores for "a".
func (x *cell) configureQuota(version, maxCores int, keysOfA ...string) {
	x.c.Assert(wire.PutConfigWithTeams(x.store, version, []wire.Route{
		{
			Queue:   "q",
			Prefix:  "/q/",
			Advised: true,
		},
	}, []wire.Team{
		{
			ID:   "a",
			Keys: keysOfA,
			Quota: spoolsill.Resources{
				Processors: spoolsill.Millicores(maxCores) * spoolsill.Core,
			},
		},
		{
			ID:   "b",
			Keys: []string{"key-b"},
		},
	}), qt.IsNil)
}

// callWith makes a call with a key.
func (x *cell) callWith(key string, host int, method, path, body string) result {
	return x.callAs(x.client, key, host, method, path, body)
}

// waitingStatus requests the number of waiting jobs from a host and returns the status
// code.
func (x *cell) waitingStatus(key string, host int) int {
	return x.callWith(key, host, http.MethodGet, "/q/", "").status
}

// cutFromStore cuts a host that does not lead off from the store only.
func (x *cell) cutFromStore() (host int) {
	cut := (x.leader() + 1) % len(x.hosts)
	x.network.SetPartitioned(hostName(cut), platformNode.Name, true)
	return cut
}

// Added and removed keys must take effect on all hosts within the bound, including a
// host that is cut off from the store and learns of them from other hosts.
func TestKeyChangesReachAllHosts(t *testing.T) {
	run(t, 3, 1, func(x *cell) {
		x.configureTeams(2, "key-a")
		pause.For(x.ctx, inForce)
		x.cutFromStore()
		pause.For(x.ctx, time.Second)
		for i, keys := range [][]string{
			{"key-a", "key-a2"},
			{"key-a2"},
			{},
			{"key-a"},
		} {
			x.configureTeams(3+i, keys...)
			pause.For(x.ctx, inForce)
			for h := range x.hosts {
				for _, k := range []string{"key-a", "key-a2", "key-x"} {
					want := http.StatusUnauthorized
					for _, known := range keys {
						if known == k {
							want = http.StatusOK
						}
					}
					x.c.Check(x.waitingStatus(k, h), qt.Equals, want, qt.Commentf("%s at host %d under configuration %d", k, h, 3+i))
				}
			}
		}
	})
}

// A host with an outdated configuration must not permanently reject a key that a newer
// one adds.
func TestOutdatedHostDoesNotRejectKeysPermanently(t *testing.T) {
	run(t, 3, 1, func(x *cell) {
		x.configureTeams(2, "key-a")
		pause.For(x.ctx, inForce)
		isolated := (x.leader() + 1) % len(x.hosts)
		x.network.SetPartitioned(hostName(isolated), platformNode.Name, true)
		for h := range x.hosts {
			if h != isolated {
				x.network.SetPartitioned(hostName(isolated), hostName(h), true)
			}
		}
		pause.For(x.ctx, 2*inForce)
		x.configureTeams(3, "key-a", "key-a2")
		pause.For(x.ctx, 2*inForce)
		x.c.Check(x.waitingStatus("key-a2", isolated), qt.Equals, http.StatusBadGateway)
		x.c.Check(x.waitingStatus("key-a2", x.leader()), qt.Equals, http.StatusOK)
		x.network.SetPartitioned(hostName(isolated), platformNode.Name, false)
		for h := range x.hosts {
			x.network.SetPartitioned(hostName(isolated), hostName(h), false)
		}
		pause.For(x.ctx, inForce)
		x.c.Check(x.waitingStatus("key-a2", isolated), qt.Equals, http.StatusOK)
	})
}

// Of two changes in quick succession, the second must take effect everywhere.
func TestKeysChangeInQuickSuccession(t *testing.T) {
	run(t, 3, 1, func(x *cell) {
		x.configureTeams(2, "key-a")
		x.configureTeams(3, "key-a2")
		pause.For(x.ctx, 20*time.Millisecond)
		x.configureTeams(4, "key-a3")
		pause.For(x.ctx, inForce)
		for h := range x.hosts {
			x.c.Check(x.waitingStatus("key-a", h), qt.Equals, http.StatusUnauthorized)
			x.c.Check(x.waitingStatus("key-a2", h), qt.Equals, http.StatusUnauthorized)
			x.c.Check(x.waitingStatus("key-a3", h), qt.Equals, http.StatusOK)
		}
	})
}

// A job must remain owned by its team for as long as it can be queried: on every host,
// after it has ended, after its rows have been deleted, and after all hosts have
// restarted.
func TestJobRemainsOwnedByItsTeam(t *testing.T) {
	run(t, 3, 1, func(x *cell) {
		x.configureTeams(2, "key-a")
		pause.For(x.ctx, inForce)
		path := "/q/" + jobID(1)
		x.c.Assert(x.callWith("key-a", 0, http.MethodPost, path, body).status, qt.Equals, http.StatusOK)
		check := func(when string, state string) {
			for h := range x.hosts {
				comment := qt.Commentf("%s, host %d", when, h)
				x.c.Check(x.callWith("key-b", h, http.MethodGet, path, "").status, qt.Equals, http.StatusForbidden, comment)
				x.c.Check(x.callWith("key-b", h, http.MethodDelete, path, "").status, qt.Equals, http.StatusForbidden, comment)
				x.c.Check(x.callWith("key-a", h, http.MethodGet, path, "").body, qt.Equals, state, comment)
			}
		}
		x.c.Check(x.callWith("key-b", 0, http.MethodPost, path, body).status, qt.Equals, http.StatusConflict)
		check("at once", `{"state":"pending"}`)
		pause.For(x.ctx, 6*time.Second)
		check("ended", completed)
		for h := range x.hosts {
			x.hosts[h].stop()
		}
		pause.For(x.ctx, 8*time.Second)
		for h := range 3 {
			x.start(h)
		}
		pause.For(x.ctx, 5*time.Second)
		check("after a restart of all hosts", completed)
	})
}

// Jobs of a team must continue after its last key is removed, and its next key must
// give access to them.
func TestJobsOutliveTheLastKeyOfTheirTeam(t *testing.T) {
	run(t, 2, 1, func(x *cell) {
		x.configureTeams(2, "key-a")
		pause.For(x.ctx, inForce)
		path := "/q/" + jobID(1)
		x.c.Assert(x.callWith("key-a", 0, http.MethodPost, path, body).status, qt.Equals, http.StatusOK)
		x.configureTeams(3)
		pause.For(x.ctx, 2*inForce)
		x.c.Check(x.callWith("key-a", 0, http.MethodGet, path, "").status, qt.Equals, http.StatusUnauthorized)
		x.configureTeams(4, "key-a2")
		pause.For(x.ctx, inForce)
		x.c.Check(x.callWith("key-a2", 0, http.MethodGet, path, "").body, qt.Equals, completed)
	})
}

// Jobs accepted before teams were configured have no owner, and any team may query
// them.
func TestJobsWithoutTeam(t *testing.T) {
	run(t, 2, 1, func(x *cell) {
		path := "/q/" + jobID(1)
		x.c.Assert(x.call(0, http.MethodPost, path, body).status, qt.Equals, http.StatusOK)
		x.configureTeams(2, "key-a")
		pause.For(x.ctx, 2*inForce)
		x.c.Check(x.callWith("key-b", 1, http.MethodGet, path, "").body, qt.Equals, completed)
		x.c.Check(x.callWith("key-a", 0, http.MethodPost, path, body).status, qt.Equals, http.StatusOK, qt.Commentf("the same job again"))
	})
}

// An increased quota must take effect at once.
func TestRaisedQuotaIsUsed(t *testing.T) {
	run(t, 3, 2, func(x *cell) {
		x.configureQuota(2, 1, "key-a")
		pause.For(x.ctx, inForce)
		wide := `{"spec":"s","steps":[{"count":8,"cpu":1000,"estMs":900}]}`
		path := "/q/" + jobID(1)
		x.c.Assert(x.callWith("key-a", 0, http.MethodPost, path, wide).status, qt.Equals, http.StatusOK)
		pause.For(x.ctx, 2*time.Second)
		x.c.Check(x.callWith("key-a", 0, http.MethodGet, path, "").body, qt.Equals, `{"state":"running"}`)
		x.configureQuota(3, 8, "key-a")
		pause.For(x.ctx, 3*time.Second)
		x.c.Check(x.callWith("key-a", 0, http.MethodGet, path, "").body, qt.Equals, completed)
	})
}
