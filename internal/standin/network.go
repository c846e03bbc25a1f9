package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
)

// ErrPartitioned is returned for a connection between nodes that are
// partitioned from each other.
var ErrPartitioned = errors.New("standin: network is partitioned")

// A Node is a process or machine on a [Network]. Its place is a hall or
// [PlatformPlace].
type Node struct {
	Name  string
	Place string
}

// A Network connects nodes over loopback or in memory. It can partition any two
// nodes or places from each other, pause nodes and limit their bandwidth. It is
// safe for concurrent use.
type Network struct {
	memory bool

	mu          sync.Mutex
	nodes       map[string]Node // address -> node
	listeners   map[string]*memoryListener
	partitioned map[[2]string]bool
	paused      map[string]chan struct{} // node name -> closed when it resumes
	conns       map[*conn]bool
	links       map[string]*link // node name -> its link, if rate-limited
	lastPort    int              // of in-memory listeners
}

// NewNetwork returns a network without partitions. With memory set it opens no
// sockets, so that it can run in a testing/synctest bubble.
func NewNetwork(memory bool) *Network {
	return &Network{
		memory:      memory,
		nodes:       map[string]Node{},
		listeners:   map[string]*memoryListener{},
		partitioned: map[[2]string]bool{},
		paused:      map[string]chan struct{}{},
		conns:       map[*conn]bool{},
		links:       map[string]*link{},
	}
}

// Listen returns a listener of a node on an address; an empty address means any
// free port.
func (n *Network) Listen(node Node, address string) (net.Listener, error) {
	if n.memory {
		return n.listenMemory(node, address)
	}
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[l.Addr().String()] = node
	return l, nil
}

func (n *Network) listenMemory(node Node, address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if address == "" {
		n.lastPort++
		address = fmt.Sprintf("127.9.0.1:%d", n.lastPort)
	}
	if _, ok := n.listeners[address]; ok {
		return nil, fmt.Errorf("standin: %s is in use", address)
	}
	l := &memoryListener{
		network: n,
		address: address,
		conns:   make(chan net.Conn),
		closed:  make(chan struct{}),
	}
	n.listeners[address] = l
	n.nodes[address] = node
	return l, nil
}

// SetPartitioned partitions two nodes or places from each other, or ends the
// partition. A partition closes the open connections between them.
func (n *Network) SetPartitioned(a, b string, partitioned bool) {
	n.mu.Lock()
	n.partitioned[[2]string{a, b}] = partitioned
	n.partitioned[[2]string{b, a}] = partitioned
	var broken []*conn
	for c := range n.conns {
		if n.isPartitioned(c.from, c.to) {
			broken = append(broken, c)
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		_ = c.Close()
	}
}

func (n *Network) isPartitioned(a, b Node) bool {
	for _, x := range []string{a.Name, a.Place} {
		for _, y := range []string{b.Name, b.Place} {
			if n.partitioned[[2]string{x, y}] {
				return true
			}
		}
	}
	return false
}

// SetPaused pauses or resumes a node. A paused node neither sends nor receives
// data; its pending writes complete after it resumes.
func (n *Network) SetPaused(name string, paused bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c, ok := n.paused[name]
	if paused && !ok {
		n.paused[name] = make(chan struct{})
	}
	if !paused && ok {
		close(c)
		delete(n.paused, name)
	}
}

// Paused reports whether a node is paused.
func (n *Network) Paused(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, ok := n.paused[name]
	return ok
}

// waitUntilResumed blocks while a node is paused.
func (n *Network) waitUntilResumed(name string) {
	for {
		n.mu.Lock()
		c, ok := n.paused[name]
		n.mu.Unlock()
		if !ok {
			return
		}
		<-c
	}
}

// Dialer returns a function that opens connections from a node.
func (n *Network) Dialer(from Node) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n.waitUntilResumed(from.Name)
		n.mu.Lock()
		to := n.nodes[address]
		partitioned := n.isPartitioned(from, to)
		l := n.listeners[address]
		n.mu.Unlock()
		if partitioned {
			return nil, dialError(network, ErrPartitioned)
		}
		if !n.memory {
			var d net.Dialer
			c, err := d.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return n.track(c, from, to, from), nil
		}
		if l == nil {
			return nil, dialError(network, errors.New("connection refused"))
		}
		return l.dial(ctx, network, from, to)
	}
}

func dialError(network string, err error) error {
	return &net.OpError{
		Op:  "dial",
		Net: network,
		Err: err,
	}
}

// track registers one end of a connection, so that a partition can close it.
// The end belongs to owner: its reads and writes block while owner is paused.
func (n *Network) track(c net.Conn, from, to, owner Node) net.Conn {
	connCtx, cancel := context.WithCancel(context.Background())
	x := &conn{
		ctx:     connCtx,
		cancel:  cancel,
		Conn:    c,
		network: n,
		from:    from,
		to:      to,
		owner:   owner,
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[x] = true
	return x
}

// A conn is one end of a connection.
type conn struct {
	net.Conn
	network *Network
	from    Node
	to      Node
	owner   Node
	ctx     context.Context //nolint:containedctx // done when the connection is closed
	cancel  context.CancelFunc
}

// Read implements net.Conn. On a rate-limited link it reads at most one packet.
func (c *conn) Read(b []byte) (int, error) {
	l := c.network.link(c.owner.Name)
	if l != nil && len(b) > packetSize {
		b = b[:packetSize]
	}
	k, err := c.Conn.Read(b)
	if l != nil && k > 0 {
		// The end of a connection uses no bandwidth. Queued behind the bytes
		// of other connections, it would be seen only after the end of a test.
		l.in.transmit(c.ctx, k)
	}
	c.network.waitUntilResumed(c.owner.Name)
	return k, err
}

// Write implements net.Conn. On a rate-limited link it writes packet by packet.
func (c *conn) Write(b []byte) (int, error) {
	c.network.waitUntilResumed(c.owner.Name)
	l := c.network.link(c.owner.Name)
	if l == nil {
		return c.Conn.Write(b)
	}
	done := 0
	for done < len(b) {
		p := b[done:min(done+packetSize, len(b))]
		l.out.transmit(c.ctx, len(p))
		k, err := c.Conn.Write(p)
		done += k
		if err != nil {
			return done, err
		}
	}
	return done, nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.cancel()
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}
