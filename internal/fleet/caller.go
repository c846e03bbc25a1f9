package fleet

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/entry"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/internal/standin"
)

// A Balancer stands for the platform's: it knows which hosts are ready, with
// a lag, and sends each request to one of them.
type Balancer struct {
	fleet *Fleet
	http  *http.Client
	mu    sync.Mutex
	ready []string
}

// NewBalancer returns a balancer that knows of no host before Run.
func NewBalancer(f *Fleet) *Balancer {
	return &Balancer{
		fleet: f,
		http:  f.HTTPClient(),
	}
}

// balancerLag is how long the balancer takes to notice.
const balancerLag = 100 * time.Millisecond

// Run looks at the readiness of all hosts until ctx ends, at each by itself: one
// that does not answer keeps no news of another back.
func (b *Balancer) Run(ctx context.Context) {
	defer b.http.CloseIdleConnections()
	all, _ := b.fleet.States()
	var looking sync.WaitGroup
	for _, a := range all {
		looking.Go(func() {
			for ctx.Err() == nil {
				b.note(a, b.isReady(ctx, a))
				pause.For(ctx, balancerLag)
			}
		})
	}
	looking.Wait()
}

// note takes in what a look at a host has shown.
func (b *Balancer) note(address string, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = slices.DeleteFunc(b.ready, func(a string) bool { return a == address })
	if ready {
		b.ready = append(b.ready, address)
	}
}

func (b *Balancer) pick() (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return "", false
	}
	return b.ready[rand.IntN(len(b.ready))], true
}

func (b *Balancer) isReady(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	r, err := b.http.Do(q)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// Callers send requests and check what comes back. They are safe for
// concurrent use.
type Callers struct {
	balancer *Balancer
	truth    *standin.Truth
	fleet    *Fleet
	client   *http.Client
	random   func() uint64

	// Done, NotRun, Unknown count the requests by what became of them, Sent
	// the attempts, Begun the requests.
	Done     atomic.Int64
	NotRun   atomic.Int64
	Unknown  atomic.Int64
	Attempts atomic.Int64
	Started  atomic.Int64
}

// NewCallers returns callers whose choices follow from random.
func NewCallers(f *Fleet, b *Balancer, random func() uint64) *Callers {
	return &Callers{
		balancer: b,
		truth:    f.config.Cell.Truth,
		fleet:    f,
		client:   f.HTTPClient(),
		random:   random,
	}
}

// Close ends the callers' connections.
func (c *Callers) Close() {
	c.client.CloseIdleConnections()
}

// maxAttempts bounds how often a caller asks again.
const maxAttempts = 4

// Request sends one request, and asks again with the same key when it did not
// run or when that is not known.
func (c *Callers) Request(ctx context.Context) {
	n := c.Started.Add(1)
	r := c.random()
	key := spoolsill.RequestKey(fmt.Sprintf("%s/q%d", c.halls()[n%int64(len(c.halls()))], n))
	if n%5 == 0 {
		key = spoolsill.RequestKey(fmt.Sprintf("q%d", n))
	}
	x := request{
		key:    key,
		once:   r%3 == 0,
		body:   bytes.Repeat([]byte{byte('a' + n%26)}, int(r>>8%2000)+1),
		issued: time.Now(),
		class:  spoolsill.Class(r >> 20 % 3),
		worth:  int(r>>24%100) + 1,
		caller: fmt.Sprintf("team-%d", r>>32%40),
	}
	last := spoolsill.OutcomeNotRun
	maybe := false
	for range maxAttempts {
		last = c.attempt(ctx, x)
		maybe = maybe || last == spoolsill.OutcomeUnknown
		if last == spoolsill.OutcomeDone || ctx.Err() != nil {
			break
		}
		pause.For(ctx, 60*time.Millisecond)
	}
	c.settle(x, last, maybe)
}

// settle counts what became of a request, and checks it against the runners'
// own records.
func (c *Callers) settle(x request, last spoolsill.Outcome, maybe bool) {
	runs := c.truth.Runs(x.key)
	if x.once && runs > 1 {
		c.truth.Break(standin.AtMostOnce, "unrepeatable request %s ran %d times", x.key, runs)
	}
	switch {
	case last == spoolsill.OutcomeDone:
		c.Done.Add(1)
		if runs == 0 {
			c.truth.Break(standin.WholeAnswer, "request %s is done and never ran", x.key)
		}
	case maybe:
		c.Unknown.Add(1)
	default:
		c.NotRun.Add(1)
		if runs > 0 {
			c.truth.Break(standin.TrueNotRun, "request %s is called not run and ran %d times", x.key, runs)
		}
	}
}

type request struct {
	key    spoolsill.RequestKey
	once   bool
	body   []byte
	issued time.Time
	class  spoolsill.Class
	worth  int
	caller string
}

// attempt sends a request once and returns what became of it.
func (c *Callers) attempt(ctx context.Context, x request) spoolsill.Outcome {
	to, ok := c.balancer.pick()
	if !ok {
		return spoolsill.OutcomeNotRun
	}
	c.Attempts.Add(1)
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to+"/v1/call/"+string(c.fleet.config.Service.ID)+"/mark", bytes.NewReader(x.body))
	if err != nil {
		return spoolsill.OutcomeNotRun
	}
	q.Header.Set(entry.HeaderKey, string(x.key))
	q.Header.Set(entry.HeaderCaller, x.caller)
	q.Header.Set(entry.HeaderDeadline, "3s")
	q.Header.Set(entry.HeaderClass, x.class.String())
	q.Header.Set(entry.HeaderWorth, strconv.Itoa(x.worth))
	if x.once {
		q.Header.Set(entry.HeaderUnrepeatable, "true")
		q.Header.Set(entry.HeaderIssued, strconv.FormatInt(x.issued.UnixMilli(), 10))
	}
	r, err := c.client.Do(q)
	if err != nil {
		return c.broken(ctx, to, x, err)
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return c.broken(ctx, to, x, err)
	}
	return c.check(x, r, b)
}

// broken tells a request that was never taken from one that was cut off.
func (c *Callers) broken(ctx context.Context, to string, x request, err error) spoolsill.Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return spoolsill.OutcomeNotRun
	}
	if ctx.Err() == nil && c.stoppedAsPlanned(to) {
		c.truth.Break(standin.PlannedStop, "request %s was cut off by a planned stop: %s", x.key, err)
	}
	return spoolsill.OutcomeUnknown
}

func (c *Callers) stoppedAsPlanned(address string) bool {
	all, states := c.fleet.States()
	for i, a := range all {
		if a == address {
			return states[i] == Stopped
		}
	}
	return false
}

func (c *Callers) check(x request, r *http.Response, b []byte) spoolsill.Outcome {
	o := spoolsill.Outcome(r.Header.Get(entry.HeaderOutcome))
	switch o {
	case spoolsill.OutcomeDone:
		if want := standin.Answer(x.key, x.body); string(b) != want {
			c.truth.Break(standin.WholeAnswer, "request %s got %q, want %q", x.key, b, want)
		}
	case spoolsill.OutcomeNotRun, spoolsill.OutcomeUnknown:
	default:
		c.truth.Break(standin.WholeAnswer, "request %s got an answer without outcome: status %d", x.key, r.StatusCode)
		return spoolsill.OutcomeUnknown
	}
	return o
}

func (c *Callers) halls() []spoolsill.HallID {
	return c.fleet.config.Halls
}
