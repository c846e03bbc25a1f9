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

// teams writes a configuration with the queue at /q/ and the teams "a" and "b".
func (x *cell) teams(version int, keysOfA ...string) {
	x.quotas(version, 0, keysOfA...)
}

// quotas does the same, with a quota in cores for "a".
func (x *cell) quotas(version, most int, keysOfA ...string) {
	x.c.Assert(wire.PutTeams(x.store, version, []wire.Route{
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
				Processors: spoolsill.Millicores(most) * spoolsill.Core,
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

// count asks a host for the jobs that wait, and returns the status.
func (x *cell) count(key string, host int) int {
	return x.callWith(key, host, http.MethodGet, "/q/", "").status
}

// cutFromStore cuts a host off that does not lead, from the store only.
func (x *cell) cutFromStore() (host int) {
	cut := (x.leader() + 1) % len(x.hosts)
	x.network.SetCut(hostName(cut), platformPlace.Name, true)
	return cut
}

// Keys that come and go are in force at all hosts within the bound, also at one that
// the store does not reach: other hosts tell it.
func TestKeysComeAndGoAtAllHosts(t *testing.T) {
	run(t, 3, 1, func(x *cell) {
		x.teams(2, "key-a")
		pause.For(x.ctx, inForce)
		x.cutFromStore()
		pause.For(x.ctx, time.Second)
		for i, keys := range [][]string{
			{"key-a", "key-a2"},
			{"key-a2"},
			{},
			{"key-a"},
		} {
			x.teams(3+i, keys...)
			pause.For(x.ctx, inForce)
			for h := range x.hosts {
				for _, k := range []string{"key-a", "key-a2", "key-x"} {
					want := http.StatusUnauthorized
					for _, known := range keys {
						if known == k {
							want = http.StatusOK
						}
					}
					x.c.Check(x.count(k, h), qt.Equals, want, qt.Commentf("%s at host %d under configuration %d", k, h, 3+i))
				}
			}
		}
	})
}

// A host that is behind refuses no key for good which a newer configuration has.
func TestHostThatIsBehindRefusesNoKeyForGood(t *testing.T) {
	run(t, 3, 1, func(x *cell) {
		x.teams(2, "key-a")
		pause.For(x.ctx, inForce)
		alone := (x.leader() + 1) % len(x.hosts)
		x.network.SetCut(hostName(alone), platformPlace.Name, true)
		for h := range x.hosts {
			if h != alone {
				x.network.SetCut(hostName(alone), hostName(h), true)
			}
		}
		pause.For(x.ctx, 2*inForce)
		x.teams(3, "key-a", "key-a2")
		pause.For(x.ctx, 2*inForce)
		x.c.Check(x.count("key-a2", alone), qt.Equals, http.StatusBadGateway)
		x.c.Check(x.count("key-a2", x.leader()), qt.Equals, http.StatusOK)
		x.network.SetCut(hostName(alone), platformPlace.Name, false)
		for h := range x.hosts {
			x.network.SetCut(hostName(alone), hostName(h), false)
		}
		pause.For(x.ctx, inForce)
		x.c.Check(x.count("key-a2", alone), qt.Equals, http.StatusOK)
	})
}

// Two changes right after one another: the second one counts everywhere.
func TestKeysChangeInQuickSuccession(t *testing.T) {
	run(t, 3, 1, func(x *cell) {
		x.teams(2, "key-a")
		x.teams(3, "key-a2")
		pause.For(x.ctx, 20*time.Millisecond)
		x.teams(4, "key-a3")
		pause.For(x.ctx, inForce)
		for h := range x.hosts {
			x.c.Check(x.count("key-a", h), qt.Equals, http.StatusUnauthorized)
			x.c.Check(x.count("key-a2", h), qt.Equals, http.StatusUnauthorized)
			x.c.Check(x.count("key-a3", h), qt.Equals, http.StatusOK)
		}
	})
}

// A job is its team's as long as it can be asked about: at every host, once it has
// ended, once its rows are swept, and once all hosts have lost what they knew.
func TestJobStaysItsTeams(t *testing.T) {
	run(t, 3, 1, func(x *cell) {
		x.teams(2, "key-a")
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
		check("all started anew", completed)
	})
}

// The jobs of a team whose last key is gone go on, and its next key asks for them.
func TestJobsOutliveTheLastKeyOfTheirTeam(t *testing.T) {
	run(t, 2, 1, func(x *cell) {
		x.teams(2, "key-a")
		pause.For(x.ctx, inForce)
		path := "/q/" + jobID(1)
		x.c.Assert(x.callWith("key-a", 0, http.MethodPost, path, body).status, qt.Equals, http.StatusOK)
		x.teams(3)
		pause.For(x.ctx, 2*inForce)
		x.c.Check(x.callWith("key-a", 0, http.MethodGet, path, "").status, qt.Equals, http.StatusUnauthorized)
		x.teams(4, "key-a2")
		pause.For(x.ctx, inForce)
		x.c.Check(x.callWith("key-a2", 0, http.MethodGet, path, "").body, qt.Equals, completed)
	})
}

// Jobs that were accepted before there were teams are nobody's, and any team may ask.
func TestJobsFromBeforeThereWereTeams(t *testing.T) {
	run(t, 2, 1, func(x *cell) {
		path := "/q/" + jobID(1)
		x.c.Assert(x.call(0, http.MethodPost, path, body).status, qt.Equals, http.StatusOK)
		x.teams(2, "key-a")
		pause.For(x.ctx, 2*inForce)
		x.c.Check(x.callWith("key-b", 1, http.MethodGet, path, "").body, qt.Equals, completed)
		x.c.Check(x.callWith("key-a", 0, http.MethodPost, path, body).status, qt.Equals, http.StatusOK, qt.Commentf("the same job again"))
	})
}

// A quota that is raised is used at once.
func TestRaisedQuotaIsUsed(t *testing.T) {
	run(t, 3, 2, func(x *cell) {
		x.quotas(2, 1, "key-a")
		pause.For(x.ctx, inForce)
		wide := `{"spec":"s","steps":[{"count":8,"cpu":1000,"estMs":900}]}`
		path := "/q/" + jobID(1)
		x.c.Assert(x.callWith("key-a", 0, http.MethodPost, path, wide).status, qt.Equals, http.StatusOK)
		pause.For(x.ctx, 2*time.Second)
		x.c.Check(x.callWith("key-a", 0, http.MethodGet, path, "").body, qt.Equals, `{"state":"running"}`)
		x.quotas(3, 8, "key-a")
		pause.For(x.ctx, 3*time.Second)
		x.c.Check(x.callWith("key-a", 0, http.MethodGet, path, "").body, qt.Equals, completed)
	})
}
