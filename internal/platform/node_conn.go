package platform

import (
	"net"
	"slices"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
)

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
	sent    time.Time // when it was written
	givenUp bool
}

// nodeCall is a call, a place on its connection; or the word that one attempt is given up.
type nodeCall struct {
	parts  []*sending
	open   int
	giveUp *sending
}

type nodeConn struct {
	nodes   *Caller
	node    string
	address string
	queue   []*nodeCall
	wake    chan struct{} // holds a token when there is something in the queue, or the end
	out     []*sending
	past    []string // ids that were settled here, the latest last
	calls   int
	used    time.Time
	heard   time.Time // when an answer came last
	proof   int       // calls answered elsewhere while this one was quiet
	closed  bool
	spoilt  bool     // closed by us: an answer cannot be read, or none comes any more
	guilty  *sending // whose answer that was, if that can be told
	c       net.Conn // set once connected
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
	c.nodes.held--
	list := slices.DeleteFunc(c.nodes.conns[c.node], func(o *nodeConn) bool { return o == c })
	if c.nodes.conns[c.node] = list; len(list) == 0 { // the node may be gone for good
		delete(c.nodes.conns, c.node)
	}
	if c.c != nil {
		c.c.Close()
	}
	c.signal()
}

// discard closes the connection, under the lock, so that what is out on it is taken back.
func (c *nodeConn) discard() {
	c.spoilt = true
	c.shut()
}

// quiet is for how long answers have been awaited and none has come, under the lock.
func (c *nodeConn) quiet() time.Duration {
	i := slices.IndexFunc(c.out, func(s *sending) bool { return s.state == written })
	if i < 0 {
		return 0
	}
	if since := c.out[i].sent; since.After(c.heard) {
		return time.Since(since)
	}
	return time.Since(c.heard)
}

// hear notes an answer, under the lock, and what it says of the node's other connections.
func (c *nodeConn) hear(s *sending) {
	c.heard, c.proof = time.Now(), 0
	for _, o := range slices.Clone(c.nodes.conns[c.node]) {
		if q := o.quiet(); o != c && q > c.nodes.ResponseTimeout && time.Since(s.sent) < q {
			if o.proof++; o.proof >= quietProof {
				o.discard()
			}
		}
	}
}

// settle ends an attempt, under the lock, and returns what the owner is to be told.
func (c *nodeConn) settle(s *sending) {
	c.out = slices.DeleteFunc(c.out, func(o *sending) bool { return o == s })
	delete(c.nodes.sends, s.at)
	c.past = append(c.past[max(0, len(c.past)+1-pastIDs):], s.id)
	c.used = time.Now()
	if s.call.open--; s.call.open == 0 {
		c.calls--
	}
}

// end settles an attempt that is still out and tells the owner.
func (c *nodeConn) end(s *sending, outcome scatter.Outcome, value []byte) {
	c.nodes.mu.Lock()
	out := slices.Contains(c.out, s)
	if out {
		c.settle(s)
	}
	c.nodes.mu.Unlock()
	if out {
		c.nodes.Reporter.AttemptEnded(s.at, outcome, value)
	}
}

// retire takes the connection out of use if no answer has been awaited for a time: under one lock, so that no call can come
// to it in between, which would pass for one that its node refused.
func (c *nodeConn) retire(since time.Duration) bool {
	c.nodes.mu.Lock()
	defer c.nodes.mu.Unlock()
	if len(c.out) > 0 || time.Since(c.used) < since {
		return false
	}
	c.shut()
	return true
}
