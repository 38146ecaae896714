package platform

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"harepass"
	"harepass/internal/buffer"
	"harepass/internal/core"
	"harepass/internal/http1"
)

// Scheme names the data nodes' frames.
const Scheme = "frame"

const idleShare = 0.8 // of the time after which nodes close idle connections: later ones are not trusted

// Nodes speaks frames to data nodes. It is a core.Caller.
type Nodes struct {
	Owner          core.Reporter
	Streams        int // calls that one connection carries at once
	ConnectTimeout time.Duration
	KeepAlive      time.Duration // idle connections are closed by nodes after this
	Dial           http1.Dialer  // nil for plain TCP

	mu    sync.Mutex // guards all below, connections included; nothing blocks under it
	conns map[string][]*nodeConn
	sends map[*core.Attempt]*sending
}

// sendState is how far an attempt is on its connection.
type sendState int

const (
	queued  sendState = iota // its frame has not been begun
	begun                    // its frame is being written
	written                  // its frame's last byte is written: it may run
)

// sending is an attempt that has not ended.
type sending struct {
	at      *core.Attempt
	id      string
	call    *nodeCall
	state   sendState
	givenUp bool
}

// nodeCall is a call, a place on its connection; or the word that one attempt is given up.
type nodeCall struct {
	parts  []*sending
	open   int
	giveUp *sending
}

type nodeConn struct {
	nodes   *Nodes
	node    string
	address string
	queue   []*nodeCall
	wake    chan struct{} // holds a token when there is something in the queue, or the end
	out     []*sending
	calls   int
	used    time.Time
	closed  bool
	c       net.Conn // set once connected
}

// Call implements core.Caller.
func (n *Nodes) Call(node core.Node, attempts []*core.Attempt) {
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

// conn finds a connection with room, or opens one.
func (n *Nodes) conn(node core.Node) *nodeConn {
	if n.conns == nil {
		n.conns, n.sends = map[string][]*nodeConn{}, map[*core.Attempt]*sending{}
	}
	for _, c := range slices.Clone(n.conns[node.ID]) {
		switch {
		case c.calls == 0 && (c.address != node.Address || time.Since(c.used) > time.Duration(float64(n.KeepAlive)*idleShare)):
			c.shut()
		case c.address == node.Address && c.calls < max(1, n.Streams):
			return c
		}
	}
	c := &nodeConn{nodes: n, node: node.ID, address: node.Address, wake: make(chan struct{}, 1), used: time.Now()}
	n.conns[node.ID] = append(n.conns[node.ID], c)
	go c.run()
	return c
}

// Abandon implements core.Caller.
func (n *Nodes) Abandon(at *core.Attempt) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.sends[at]
	if s == nil || s.givenUp {
		return
	}
	s.givenUp = true
	for _, c := range n.conns[at.Node] {
		if slices.Contains(c.out, s) {
			c.enqueue(&nodeCall{giveUp: s})
		}
	}
}

// Disconnect implements core.Caller.
func (n *Nodes) Disconnect(node string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range slices.Clone(n.conns[node]) {
		if c.calls == 0 {
			c.shut()
		}
	}
}

// Close ends all connections.
func (n *Nodes) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, list := range n.conns {
		for _, c := range slices.Clone(list) {
			c.shut()
		}
	}
}

// The methods below that say so are called under the lock.

// enqueue is called under the lock.
func (c *nodeConn) enqueue(call *nodeCall) {
	c.queue = append(c.queue, call)
	c.used = time.Now()
	c.signal()
}

func (c *nodeConn) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// shut takes the connection out of use, under the lock; its goroutines end what is out on it.
func (c *nodeConn) shut() {
	if c.closed {
		return
	}
	c.closed = true
	list := c.nodes.conns[c.node]
	c.nodes.conns[c.node] = slices.DeleteFunc(list, func(o *nodeConn) bool { return o == c })
	if c.c != nil {
		c.c.Close()
	}
	c.signal()
}

// settle ends an attempt, under the lock, and returns what the owner is to be told.
func (c *nodeConn) settle(s *sending) {
	c.out = slices.DeleteFunc(c.out, func(o *sending) bool { return o == s })
	delete(c.nodes.sends, s.at)
	c.used = time.Now()
	if s.call.open--; s.call.open == 0 {
		c.calls--
	}
}

// run connects, writes what is queued, and ends what is left when the connection breaks.
func (c *nodeConn) run() {
	defer c.finish()
	ctx, cancel := context.WithTimeout(context.Background(), c.nodes.ConnectTimeout)
	conn, err := c.nodes.Dial.Connect(ctx, c.address)
	cancel()
	if err != nil {
		slog.Debug("connect", "node", c.node, "err", err)
		return
	}
	defer conn.Close()
	c.nodes.mu.Lock()
	c.c = conn
	closed := c.closed
	c.nodes.mu.Unlock()
	if closed {
		return
	}
	reading := make(chan struct{})
	go func() {
		defer close(reading)
		c.read(conn)
		c.nodes.mu.Lock()
		c.shut()
		c.nodes.mu.Unlock()
	}()
	for c.write(conn) {
	}
	conn.Close()
	<-reading
}

// finish tells the outcome of all that was still out: reset if it may have been written whole.
func (c *nodeConn) finish() {
	c.nodes.mu.Lock()
	c.shut()
	rest := slices.Clone(c.out)
	for _, s := range rest {
		c.settle(s)
	}
	c.nodes.mu.Unlock()
	for _, s := range rest {
		outcome := harepass.ConnectFailed
		if s.state == written {
			outcome = harepass.Reset
		}
		c.nodes.Owner.Ended(s.at, outcome, nil)
	}
}

// write waits for something to write and writes it; false means that the connection is over.
func (c *nodeConn) write(conn net.Conn) bool {
	<-c.wake
	for {
		c.nodes.mu.Lock()
		if c.closed {
			c.nodes.mu.Unlock()
			return false
		}
		if len(c.queue) == 0 {
			c.nodes.mu.Unlock()
			return true
		}
		call := c.queue[0]
		c.queue = c.queue[1:]
		var done *sending
		outcome := harepass.Cancelled
		var frame []byte
		var parts []*sending
		if s := call.giveUp; s != nil {
			if slices.Contains(c.out, s) {
				done = s
				if s.state == queued { // skipped below, should its call still come
					outcome = harepass.Moot
				} else {
					frame = appendFrame(nil, frameGiveUp, []byte(s.id))
				}
			}
		} else {
			for _, s := range call.parts {
				if !s.givenUp {
					s.state = begun
					parts = append(parts, s)
				}
			}
			frame = callFrame(parts)
		}
		c.nodes.mu.Unlock()
		if frame != nil {
			n, err := conn.Write(frame)
			if n == len(frame) {
				c.nodes.mu.Lock()
				for _, s := range parts {
					s.state = written
				}
				c.nodes.mu.Unlock()
			}
			if err != nil {
				return false
			}
		}
		if done != nil {
			c.end(done, outcome, nil)
		}
	}
}

// callFrame is the frame of a call's parts, nil if none is left.
func callFrame(parts []*sending) []byte {
	if len(parts) == 0 {
		return nil
	}
	var rest []byte
	for _, s := range parts {
		rest = appendPart(rest, s.at)
	}
	return appendFrame(nil, frameCall, rest)
}

// end settles an attempt that is still out and tells the owner.
func (c *nodeConn) end(s *sending, outcome harepass.Outcome, value []byte) {
	c.nodes.mu.Lock()
	out := slices.Contains(c.out, s)
	if out {
		c.settle(s)
	}
	c.nodes.mu.Unlock()
	if out {
		c.nodes.Owner.Ended(s.at, outcome, value)
	}
}

// read takes answers until the connection ends.
func (c *nodeConn) read(conn net.Conn) {
	var b buffer.Buffer
	for {
		for {
			letter, rest, ok, err := nextFrame(&b)
			if err != nil {
				slog.Warn("node", "node", c.node, "err", err)
				return
			}
			if !ok {
				break
			}
			if !c.frame(letter, rest) {
				return
			}
		}
		if _, err := b.Fill(conn); err != nil {
			return
		}
	}
}

// frame handles one frame; false means that the connection is of no more use.
func (c *nodeConn) frame(letter byte, rest []byte) bool {
	switch letter {
	case frameAnswer:
		id, outcome, value, err := parseAnswer(rest)
		if err != nil {
			slog.Warn("node", "node", c.node, "err", err)
			return false
		}
		if s := c.find(id); s != nil {
			c.end(s, outcome, value)
		}
		return true
	case frameFault:
		slog.Warn("node could not use a frame", "node", c.node, "words", string(rest))
		return false
	}
	return true
}

// find is the attempt that an answer belongs to: the part's first that is written and not given up, or
// else one that is given up and not settled yet.
func (c *nodeConn) find(id string) (found *sending) {
	c.nodes.mu.Lock()
	defer c.nodes.mu.Unlock()
	for _, s := range c.out {
		if s.id == id && s.state != queued && (found == nil || found.givenUp && !s.givenUp) {
			found = s
		}
	}
	return found
}
