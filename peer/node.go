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

// The timeouts of connections, and the default of [Config].Handlers.
const (
	// DefaultDialTimeout bounds the time to open a connection.
	DefaultDialTimeout = time.Second
	// DefaultWriteTimeout bounds the time to write 64 KiB of a message, or the rest if
	// that is shorter. The connection is closed when it is exceeded.
	DefaultWriteTimeout = 5 * time.Second
	// DefaultHandlers is the limit on calls in progress per connection.
	DefaultHandlers = 512
)

// A Caller identifies the process that made a call: the host, and which run of its
// process.
type Caller struct {
	Host        spoolsill.HostID
	Incarnation spoolsill.Incarnation
}

// A Config describes a [Node].
type Config struct {
	// Host and Incarnation identify this process to the hosts that it calls.
	Host        spoolsill.HostID
	Incarnation spoolsill.Incarnation
	// Addresses maps each host that can be called to its IP and port. [Node.SetAddress]
	// adds more.
	Addresses map[spoolsill.HostID]string
	// Clock supplies the timestamps of sent frames and is advanced by those of received
	// frames; nil means a new clock.
	Clock *timeline.Clock
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Handlers limits the received calls in progress per connection; 0 means
	// DefaultHandlers. Calls beyond the limit are rejected with CodeBusy.
	Handlers int
	// Compressors is the maximum number of connections over which the node sends
	// compressed frames, each of which takes CompressorMemory. Only hosts that have it set
	// too read them. It trades memory and processor time for the bandwidth of a slow link.
	Compressors int
	// Report, if not nil, is called with the remote address of each connection that fails,
	// and with the address of the listener if a connection can't be accepted.
	Report func(remote string, err error)
	// OnMessage, if not nil, is called with the size in bytes of each message sent and
	// received, and the method of its call. The method is empty for received replies to
	// abandoned calls, and for received calls of methods that are not registered and their
	// replies.
	OnMessage func(method string, sent, received int)
}

// A Node makes and serves calls. It is safe for concurrent use.
type Node struct {
	config        Config
	methods       sync.Map // string -> handler
	mu            sync.Mutex
	links         map[spoolsill.HostID]*link
	compressors   compressorBudget
	lastID        atomic.Uint64
	bytesSent     atomic.Uint64
	bytesReceived atomic.Uint64
	// inFlight counts the received calls that are not answered yet.
	inFlight atomic.Int64
}

type handler func(ctx context.Context, c Caller, body []byte) (any, error)

// NewNode returns a node without registered methods. The first call to a host opens the
// connection to it.
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
	if c.OnMessage == nil {
		c.OnMessage = func(string, int, int) {}
	}
	n := &Node{
		config: c,
		links:  map[spoolsill.HostID]*link{},
		compressors: compressorBudget{
			left: c.Compressors,
		},
	}
	for h, a := range c.Addresses {
		n.SetAddress(h, a)
	}
	return n
}

// SetAddress sets the address of a host. If the address changes, the connection to the
// previous address is closed, and calls waiting for a reply on it fail with [ErrReplyLost].
func (n *Node) SetAddress(h spoolsill.HostID, address string) {
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
		dialMu:  newCtxMutex(),
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

// Traffic returns the total bytes sent and received by the node.
func (n *Node) Traffic() (sent, received uint64) {
	return n.bytesSent.Load(), n.bytesReceived.Load()
}

// InFlight returns the number of calls received whose handler is running or whose reply
// is not sent yet.
func (n *Node) InFlight() int {
	return int(n.inFlight.Load())
}

// Handle registers f as the handler of a method, in place of any previous handler. f is
// called in a new goroutine for each call, with a ctx that is cancelled when the caller's
// timeout expires or the connection is closed.
func Handle[Q, R any](n *Node, method string, f func(ctx context.Context, c Caller, q Q) (R, error)) {
	n.methods.Store(method, handler(func(ctx context.Context, c Caller, body []byte) (any, error) {
		var q Q
		if err := msgpack.Unmarshal(body, &q); err != nil {
			return nil, &RemoteError{
				Code: CodeBadInput,
				Text: err.Error(),
			}
		}
		return f(ctx, c, q)
	}))
}

// Call calls a method of the host named by to with the request q, and waits for the
// reply until ctx is done. The package comment describes the errors.
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
		return r, fmt.Errorf("%w: %w", ErrReplyLost, err)
	}
	return r, nil
}

// acceptRetryDelay is the delay after a failed Accept. Most such errors are temporary, as
// when too many files are open, and must not end the process.
const acceptRetryDelay = 50 * time.Millisecond

// Serve accepts connections on l and serves their calls until ctx is done. It closes l,
// and returns nil after all accepted connections are closed and their handlers have
// returned. If l fails without being closed, the error is passed to [Config].Report and
// accepting is retried.
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
			pause.For(ctx, acceptRetryDelay)
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			n.serveConn(ctx, c)
		}()
	}
}

// closeUnserved closes a connection that was accepted during shutdown, unless it is nil. If
// the connection stayed open, its caller would wait for replies.
func closeUnserved(c net.Conn) {
	if c != nil {
		_ = c.Close()
	}
}

// Close closes all outgoing connections. Calls waiting for a reply fail with
// [ErrReplyLost]; a later call opens a new connection.
func (n *Node) Close() {
	n.mu.Lock()
	links := slices.Collect(maps.Values(n.links))
	n.mu.Unlock()
	for _, l := range links {
		l.close()
	}
}

// stamp sets the sender of m, what it can read, and the timestamp.
func (n *Node) stamp(m *message) {
	m.From = n.config.Host
	m.Incarnation = n.config.Incarnation
	m.Inflates = n.config.Compressors > 0
	m.Timestamp = n.config.Clock.Tick()
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}
