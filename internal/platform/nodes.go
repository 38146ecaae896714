package platform

import (
	"slices"
	"sync"
	"time"

	"harepass/internal/core"
	"harepass/internal/http1"
)

// Scheme names the data nodes' frames.
const Scheme = "frame"

const (
	idleShare = 0.8              // of the time after which nodes close idle connections: later ones are not trusted
	keepAlive = 10 * time.Second // where the settings leave it out

	// Connections fall silent without a word, while their node answers on others. One on which answers have been
	// awaited for Nodes.Quiet gets no new calls while there are fewer than quietMost like it, and is closed once
	// quietProof later calls have been answered on others.
	quietMost  = 4
	quietProof = 3

	pastIDs = 256 // settled ids that a connection remembers: a late answer or a second copy is no fault
)

// Caller speaks frames to data nodes. It is a core.Caller.
type Caller struct {
	Reporter        core.AttemptReporter
	CallsPerConn    int // calls that one connection carries at once
	MaxConns        int // connections held at once, but for the first to each node; 0 for no limit
	ConnectTimeout  time.Duration
	ResponseTimeout time.Duration // for an answer to come in whole, and for some answer where any is awaited
	KeepAlive       time.Duration // idle connections are closed by nodes after this
	Dial            http1.Dialer  // nil for plain TCP

	mu      sync.Mutex // guards all below, connections included; nothing blocks under it
	conns   map[string][]*nodeConn
	held    int // connections in conns
	sends   map[*core.Attempt]*sending
	opening func()
}

// OnDial has f called before each connection is opened from now on, without the lock.
func (n *Caller) OnDial(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.opening = f
}

// Call implements core.Caller.
func (n *Caller) Call(node core.Endpoint, attempts []*core.Attempt) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.conn(node)
	call := &nodeCall{open: len(attempts)}
	for _, at := range attempts {
		s := &sending{at: at, id: partID(at), call: call}
		call.parts = append(call.parts, s)
		c.out = append(c.out, s)
		n.sends[at] = s
	}
	c.calls++
	c.enqueue(call)
}

// conn finds a connection with room, or opens one. Where no more may be opened, calls wait unread at the node.
func (n *Caller) conn(node core.Endpoint) *nodeConn {
	if n.conns == nil {
		n.conns, n.sends = map[string][]*nodeConn{}, map[*core.Attempt]*sending{}
	}
	var least, quiet *nodeConn
	quiets := 0
	for _, c := range slices.Clone(n.conns[node.ID]) {
		switch {
		case c.calls == 0 && (c.address != node.Address || time.Since(c.used) > n.trusted()):
			c.shut()
		case c.address != node.Address:
		case c.quiet() > n.ResponseTimeout:
			quiets++
			if quiet == nil || c.calls < quiet.calls {
				quiet = c
			}
		case least == nil || c.calls < least.calls:
			least = c
		}
	}
	if least == nil && (quiets >= quietMost || quiets > 0 && n.full()) {
		least = quiet
	}
	if least != nil && (least.calls < max(1, n.CallsPerConn) || n.full()) {
		return least
	}
	c := &nodeConn{nodes: n, node: node.ID, address: node.Address, wake: make(chan struct{}, 1), used: time.Now()}
	n.conns[node.ID] = append(n.conns[node.ID], c)
	n.held++
	go c.run()
	return c
}

// Configure takes over what other settings say of connections; those that stand go by it too.
func (n *Caller) Configure(streams int, connect, quiet, keepAlive time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.CallsPerConn, n.ConnectTimeout, n.ResponseTimeout, n.KeepAlive = streams, connect, quiet, keepAlive
}

// times are the ones that a connection goes by; for goroutines without the lock.
func (n *Caller) times() (connect, quiet, trusted time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ConnectTimeout, n.ResponseTimeout, n.trusted()
}

// trusted is how long an idle connection is used again, and kept; under the lock.
func (n *Caller) trusted() time.Duration {
	if n.KeepAlive <= 0 {
		return keepAlive
	}
	return time.Duration(float64(n.KeepAlive) * idleShare)
}

// OpenConns is how many connections there are, those that come up included.
func (n *Caller) OpenConns() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.held
}

// full tells, under the lock, that no connection may be opened; the idle ones make way before that.
func (n *Caller) full() bool {
	if n.MaxConns == 0 || n.held < n.MaxConns {
		return false
	}
	for _, list := range n.conns {
		for _, c := range list {
			if c.calls == 0 {
				c.shut()
				return false
			}
		}
	}
	return true
}

// Cancel implements core.Caller.
func (n *Caller) Cancel(at *core.Attempt) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.sends[at]
	if s == nil {
		return
	}
	again := s.givenUp
	s.givenUp = true
	for _, c := range slices.Clone(n.conns[at.Endpoint]) {
		switch {
		case !slices.Contains(c.out, s):
		case again, s.state == written && c.heard.Before(s.sent) && time.Since(s.sent) > n.ResponseTimeout:
			c.discard() // the word might never be read, and the part run twice at once
		default:
			c.enqueue(&nodeCall{giveUp: s})
		}
	}
}

// CloseIdleConnections implements core.Caller.
func (n *Caller) CloseIdleConnections(node string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range slices.Clone(n.conns[node]) {
		if c.calls == 0 {
			c.shut()
		}
	}
}

// Close ends all connections.
func (n *Caller) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, list := range n.conns {
		for _, c := range slices.Clone(list) {
			c.shut()
		}
	}
}
