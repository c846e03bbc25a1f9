package peer

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/timeline"
)

// Defaults of [Config].
const (
	DefaultDialTimeout = time.Second
	// DefaultWriteLimit is for how long the other side may take nothing of what
	// is written before its connection is given up.
	DefaultWriteLimit = 5 * time.Second
	DefaultHandlers   = 512
)

// A Caller says who made a call.
type Caller struct {
	Host        spoolsill.HostID
	Incarnation spoolsill.Incarnation
}

// A Config describes a [Node].
type Config struct {
	Host        spoolsill.HostID
	Incarnation spoolsill.Incarnation
	// Addresses gives the IP and port of each host that can be called.
	Addresses map[spoolsill.HostID]string
	Clock     *timeline.Clock
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Handlers bounds the calls of one connection handled at once; 0 means
	// DefaultHandlers. Further calls are answered CodeBusy.
	Handlers int
	// Report is told of broken connections and bad frames; nil drops them.
	Report func(remote string, err error)
	// Observe is told of the bytes of each message, by the method of its call. It is empty
	// for replies that nobody waits for any more, and for calls of methods that the node
	// does not answer. Nil means that nobody is told.
	Observe func(method string, sent, received int)
}

// A Node makes and answers calls. It is safe for concurrent use.
type Node struct {
	config  Config
	methods sync.Map // string -> handler
	mu      sync.Mutex
	links   map[spoolsill.HostID]*link
	ids     atomic.Uint64
	sent    atomic.Uint64
	read    atomic.Uint64
	// handling counts the calls that are not answered yet.
	handling atomic.Int64
}

type handler func(ctx context.Context, c Caller, body []byte) (any, error)

// NewNode returns a node that answers nothing yet.
func NewNode(c Config) *Node {
	if c.Clock == nil {
		c.Clock = &timeline.Clock{}
	}
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	if c.Handlers <= 0 {
		c.Handlers = DefaultHandlers
	}
	if c.Report == nil {
		c.Report = func(string, error) {}
	}
	if c.Observe == nil {
		c.Observe = func(string, int, int) {}
	}
	n := &Node{
		config: c,
		links:  map[spoolsill.HostID]*link{},
	}
	for h, a := range c.Addresses {
		n.Learn(h, a)
	}
	return n
}

// Learn takes in the address of a host that can be called from now on. A host
// that has moved loses the connection to its former address.
func (n *Node) Learn(h spoolsill.HostID, address string) {
	n.mu.Lock()
	old := n.links[h]
	if old != nil && old.address == address {
		n.mu.Unlock()
		return
	}
	n.links[h] = &link{
		node:    n,
		host:    h,
		address: address,
		dialing: newGate(),
	}
	n.mu.Unlock()
	if old != nil {
		old.close()
	}
}

func (n *Node) link(h spoolsill.HostID) (*link, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok := n.links[h]
	return l, ok
}

// Traffic returns the bytes that the node sent and received so far.
func (n *Node) Traffic() (sent, received uint64) {
	return n.sent.Load(), n.read.Load()
}

// Handling returns how many calls are being handled, or have replies that wait to
// be sent.
func (n *Node) Handling() int {
	return int(n.handling.Load())
}

// Handle registers f for the calls of a method. A method registered again
// replaces the earlier one.
func Handle[Q, R any](n *Node, method string, f func(ctx context.Context, c Caller, q Q) (R, error)) {
	n.methods.Store(method, handler(func(ctx context.Context, c Caller, body []byte) (any, error) {
		var q Q
		if err := msgpack.Unmarshal(body, &q); err != nil {
			return nil, &RemoteError{
				Code: CodeInput,
				Text: err.Error(),
			}
		}
		return f(ctx, c, q)
	}))
}

// Call asks host to for a method and waits for the reply. See the package
// comment for the errors.
func Call[R, Q any](ctx context.Context, n *Node, to spoolsill.HostID, method string, q Q) (R, error) {
	var r R
	l, ok := n.link(to)
	if !ok {
		return r, fmt.Errorf("%w: %s has no address", ErrUnreachable, to)
	}
	body, err := encodeBody(q)
	if err != nil {
		return r, err
	}
	m, err := l.call(ctx, method, body)
	if err != nil {
		return r, err
	}
	if m.Kind == messageError {
		return r, &RemoteError{
			Code: m.Code,
			Text: m.Text,
		}
	}
	if err := msgpack.Unmarshal(m.Body, &r); err != nil {
		return r, fmt.Errorf("%w: %w", ErrLost, err)
	}
	return r, nil
}

// acceptPause is after a connection that could not be accepted. That passes, as
// when there are too many open files, and must not end the process.
const acceptPause = 50 * time.Millisecond

// Serve answers calls that come in on l until ctx ends. It closes l, and
// returns after all its connections are closed.
func (n *Node) Serve(ctx context.Context, l net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			closeUnserved(c)
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			n.config.Report(l.Addr().String(), err)
			pause.For(ctx, acceptPause)
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			n.serveConn(ctx, c)
		}()
	}
}

// closeUnserved closes a connection that was accepted as serving ended, if there is one: its
// caller would wait for replies.
func closeUnserved(c net.Conn) {
	if c != nil {
		_ = c.Close()
	}
}

// Close ends all connections that the node opened.
func (n *Node) Close() {
	n.mu.Lock()
	links := slices.Collect(maps.Values(n.links))
	n.mu.Unlock()
	for _, l := range links {
		l.close()
	}
}

func (n *Node) stamp(m *message) {
	m.From = n.config.Host
	m.Incarnation = n.config.Incarnation
	m.Stamp = n.config.Clock.Tick()
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}
