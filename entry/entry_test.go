package entry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/api"
	"github.com/spoolsill/spoolsill/entry"
	"github.com/spoolsill/spoolsill/internal/fleet"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/internal/standin"
	"github.com/spoolsill/spoolsill/settings"
)

// newFleet starts a hall with one entry host on loopback sockets.
func newFleet(t testing.TB, b entry.Breaks, work time.Duration) (*standin.Cell, *fleet.Fleet) {
	return newFleetIn(t, 1, b, work, false)
}

// newFleetIn starts a hall with the given number of entry hosts and waits until
// they are ready. They use an in-memory network if memory is set, and loopback
// sockets otherwise. Runners spend the duration work on each request.
func newFleetIn(t testing.TB, hosts int, b entry.Breaks, work time.Duration, memory bool) (*standin.Cell, *fleet.Fleet) {
	c := qt.New(t)
	halls := []spoolsill.HallID{"vake"}
	cell, err := standin.NewCell(standin.CellConfig{
		Halls:    halls,
		Workers:  4,
		RackSize: 2,
		Capacity: spoolsill.Resources{
			Processors: 8 * spoolsill.Core,
			Memory:     16 * spoolsill.GiB,
		},
		Service: "quizdesk",
		Runners: 8,
		Slots:   8,
		Memory:  memory,
		Work:    func(spoolsill.RequestKey) time.Duration { return work },
	})
	c.Assert(err, qt.IsNil)
	t.Cleanup(cell.Close)
	f, err := fleet.New(fleet.Config{
		Cell:         cell,
		Halls:        halls,
		HostsPerHall: hosts,
		HallLease:    2 * time.Second,
		TaskLease:    4 * time.Second,
		Break:        b,
		Service: settings.Service{
			ID:             "quizdesk",
			Slots:          8,
			Connections:    60,
			SlotLifetime:   settings.Duration(5 * time.Second),
			MaxBodyBytes:   1000,
			MaxAnswerBytes: settings.DefaultMaxAnswerBytes,
			MaxQueued:      settings.DefaultMaxQueued,
		},
	})
	c.Assert(err, qt.IsNil)
	t.Cleanup(f.Close)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c.Assert(f.WaitReady(ctx), qt.IsNil)
	return cell, f
}

// A response is the HTTP response to one request.
type response struct {
	status int
	head   http.Header
	body   string
}

// post sends one request to a host.
func post(f *fleet.Fleet, host int, body string, head map[string]string) (response, error) {
	addresses, _ := f.States()
	q, err := http.NewRequest(http.MethodPost, "http://"+addresses[host]+"/v1/call/quizdesk/mark", strings.NewReader(body))
	if err != nil {
		return response{}, err
	}
	for k, v := range head {
		q.Header.Set(k, v)
	}
	client := f.HTTPClient()
	defer client.CloseIdleConnections()
	r, err := client.Do(q)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	return response{
		status: r.StatusCode,
		head:   r.Header,
		body:   string(b),
	}, err
}

// completedAcrossStop sends n requests to a host, calls its Stop method once all
// of them are running, and returns how many received the complete answer.
func completedAcrossStop(t *testing.T, b entry.Breaks, n int) int {
	cell, f := newFleet(t, b, 400*time.Millisecond)
	var wg sync.WaitGroup
	var mu sync.Mutex
	completed := 0
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			key := fmt.Sprintf("vake/%d", i)
			r, err := post(f, 0, "sheet", map[string]string{
				entry.HeaderKey: key,
			})
			if err == nil && r.body == standin.ResponseBody(spoolsill.RequestKey(key), []byte("sheet")) {
				mu.Lock()
				defer mu.Unlock()
				completed++
			}
		}()
	}
	for started := int64(0); started < int64(n); {
		started = 0
		for _, r := range cell.Runners {
			started += r.RequestsReceived()
		}
		runtime.Gosched()
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	f.Stop(ctx, 0)
	wg.Wait()
	return completed
}

func TestPlannedStopCompletesInFlightRequests(t *testing.T) {
	qt.Assert(t, completedAcrossStop(t, entry.Breaks{}, 40), qt.Equals, 40)
}

func TestStopWithoutDrainCutsOffRequests(t *testing.T) {
	qt.Assert(t, completedAcrossStop(t, entry.Breaks{
		Drain: true,
	}, 40) < 40, qt.IsTrue)
}

func TestInvalidRequestsAreRejectedWithReason(t *testing.T) {
	_, f := newFleet(t, entry.Breaks{}, 0)
	tests := []struct {
		name string
		body string
		head map[string]string
		want string
	}{
		{
			name: "oversize body",
			body: strings.Repeat("x", 1001),
			want: "body is longer than 1000 bytes",
		},
		{
			name: "unknown header",
			head: map[string]string{
				"Spoolsill-Speed": "9",
			},
			want: "there is no such header",
		},
		{
			name: "bad deadline",
			head: map[string]string{
				entry.HeaderDeadline: "soon",
			},
			want: "a duration like",
		},
		{
			name: "unrepeatable without a key",
			head: map[string]string{
				entry.HeaderUnrepeatable: "true",
			},
			want: "a key, since the request is unrepeatable",
		},
		{
			name: "key issued in the future",
			head: map[string]string{
				entry.HeaderIssued: strconv.FormatInt(time.Now().Add(time.Hour).UnixMilli(), 10),
			},
			want: "not ahead of now",
		},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			r, err := post(f, 0, x.body, x.head)
			c.Assert(err, qt.IsNil)
			c.Check(r.status >= 400 && r.status < 500, qt.IsTrue)
			c.Check(r.head.Get(entry.HeaderOutcome), qt.Equals, string(spoolsill.OutcomeNotRun))
			c.Check(r.body, qt.Contains, x.want)
		})
	}
}

// A request that is repeated with the same key, also at another host, must run
// once and get the first answer. The key is created seconds after the hosts
// started, since hosts cannot tell whether a key created earlier was used.
func TestUnrepeatableRequestRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cell, f := newFleetIn(t, 2, entry.Breaks{}, 0, true)
		pause.For(context.Background(), 10*time.Second)
		head := map[string]string{
			entry.HeaderKey:          "vake/once",
			entry.HeaderUnrepeatable: "true",
			entry.HeaderIssued:       strconv.FormatInt(time.Now().UnixMilli(), 10),
		}
		for i := range 4 {
			r, err := post(f, i%2, "points", head)
			c.Assert(err, qt.IsNil)
			c.Check(r.head.Get(entry.HeaderOutcome), qt.Equals, string(spoolsill.OutcomeDone))
			c.Check(r.body, qt.Equals, standin.ResponseBody("vake/once", []byte("points")))
			c.Check(r.head.Get(entry.HeaderReplayed) == "true", qt.Equals, i > 0)
			pause.For(context.Background(), time.Second)
		}
		c.Check(cell.Truth.RequestStarts("vake/once"), qt.Equals, 1)
	})
}

func TestOperatorErrorsNameTheCause(t *testing.T) {
	c := qt.New(t)
	_, f := newFleet(t, entry.Breaks{}, 0)
	client := f.OperatorClient()
	ctx := context.Background()
	_, err := client.Plan(ctx, api.PlanRequest{
		Submit:   "id = \"x\"",
		FileName: "x.toml",
	})
	c.Check(err, qt.ErrorMatches, `x.toml: processors: "" is not allowed.*`)
	_, err = client.Plan(ctx, api.PlanRequest{})
	c.Check(err, qt.ErrorMatches, `.*want one of submit, cancel and drain, got 0.*`)
	_, err = client.Job(ctx, "nobody")
	c.Check(err, qt.ErrorMatches, `job nobody is not known in any hall.*`)
	err = client.Confirm(ctx, "vake", "p-none")
	c.Check(err, qt.ErrorMatches, `plan is stale: plan p-none is not known here.*`)
	_, err = client.PutConfig(ctx, api.PutConfigRequest{
		BaseVersion: 7,
	})
	c.Check(err, qt.ErrorMatches, `the configuration has changed since.*`)
}

// BenchmarkRequest sends a request to a runner, directly and through an entry
// host, over loopback sockets.
func BenchmarkRequest(b *testing.B) {
	cell, f := newFleet(b, entry.Breaks{}, 0)
	addresses, _ := f.States()
	runner := cell.Platform.Members().Runners[0].Address
	for _, x := range []struct {
		name string
		url  string
	}{
		{
			name: "straight",
			url:  "http://" + runner + "/mark",
		},
		{
			name: "entry",
			url:  "http://" + addresses[0] + "/v1/call/quizdesk/mark",
		},
	} {
		client := &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 256,
			},
		}
		one := func() {
			r, err := client.Post(x.url, "text/plain", strings.NewReader("sheet"))
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_ = r.Body.Close()
		}
		b.Run(x.name+"/one-at-a-time", func(b *testing.B) {
			for b.Loop() {
				one()
			}
		})
		b.Run(x.name+"/parallel", func(b *testing.B) {
			b.SetParallelism(8)
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					one()
				}
			})
		})
	}
}

func FuzzParseRequest(f *testing.F) {
	f.Add("Spoolsill-Deadline", "1s")
	f.Add("Spoolsill-Worth", "-1")
	f.Add("Spoolsill-Key", "vake/ä")
	f.Fuzz(func(t *testing.T, name, value string) {
		now := time.UnixMilli(1_800_000_000_000)
		r, err := entry.ParseRequest(now, "s", http.Header{
			http.CanonicalHeaderKey(name): {value},
		})
		if err == nil && (r.Deadline.Before(now) || r.Worth < 0) {
			t.Fatalf("accepted %+v", r)
		}
	})
}
