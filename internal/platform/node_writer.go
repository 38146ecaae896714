package platform

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"slices"
	"syscall"
	"time"

	"harepass/internal/counters"
	"harepass/internal/decide/scatter"
	"harepass/internal/logmsg"
	"harepass/internal/socket"
)

// endedWhileIdle counts connections that nodes had ended when a call was about to be written to them.
var endedWhileIdle = counters.New("node_connections", "ended_while_idle")

// run connects, writes what is queued, and ends what is left when the connection breaks.
func (c *nodeConn) run() {
	defer c.finish()
	c.nodes.mu.Lock()
	opening := c.nodes.opening
	c.nodes.mu.Unlock()
	if opening != nil {
		opening()
	}
	timeout, _, _ := c.nodes.times()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	conn, err := c.nodes.Dial.Connect(ctx, c.address)
	cancel()
	if err != nil {
		slog.Debug("connection failed", logmsg.KeyReplica, c.node, logmsg.KeyError, err)
		if errors.Is(err, syscall.EMFILE) { // that tells of us, not of the node
			c.nodes.mu.Lock()
			c.spoilt = true
			c.nodes.mu.Unlock()
		}
		return
	}
	defer conn.Close()
	c.nodes.mu.Lock()
	c.c = conn
	closed := c.closed
	c.nodes.mu.Unlock()
	slog.Debug(logmsg.ConnectionOpened, logmsg.KeyReplica, c.node)
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

// finish tells the outcome of all that was still out when the writer has ended, for only then it is known
// what may have run. A connection that the node broke resets it. One that we closed because of a spoilt answer
// fails the part whose answer that was and takes the others back: that tells nothing of the node's health.
func (c *nodeConn) finish() {
	c.nodes.mu.Lock()
	c.shut()
	rest := slices.Clone(c.out)
	for _, s := range rest {
		c.settle(s)
	}
	c.nodes.mu.Unlock()
	for _, s := range rest {
		outcome := scatter.ConnectFailed
		switch {
		case s == c.guilty:
			outcome = scatter.Errored
		case c.spoilt && s.state == written:
			outcome = scatter.Cancelled
		case c.spoilt:
			outcome = scatter.NotSent
		case s.state == written:
			outcome = scatter.ConnectionReset
		}
		c.nodes.Reporter.AttemptEnded(s.at, outcome, nil)
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
		if c.endedIdle(conn) {
			c.discard()
			c.nodes.mu.Unlock()
			return false
		}
		call := c.queue[0]
		c.queue = c.queue[1:]
		var done *sending
		outcome := scatter.Cancelled
		var frame []byte
		var parts, denied []*sending
		if s := call.giveUp; s != nil {
			if slices.Contains(c.out, s) {
				done = s
				if s.state == queued { // skipped below, should its call still come
					outcome = scatter.NotSent
				} else {
					frame = appendFrame(nil, frameGiveUp, []byte(s.id))
				}
			}
		} else {
			for _, s := range call.parts {
				switch {
				case s.givenUp: // its word comes behind
				case s.at.Begin():
					s.state = begun
					parts = append(parts, s)
				default:
					denied = append(denied, s)
				}
			}
			frame = callFrame(parts)
		}
		c.nodes.mu.Unlock()
		for _, s := range denied {
			c.end(s, scatter.NotSent, nil)
		}
		if frame != nil {
			n, err := conn.Write(frame)
			if n == len(frame) {
				c.nodes.mu.Lock()
				for _, s := range parts {
					s.state, s.sent = written, time.Now()
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

// endedIdle tells, under the lock, whether the node has ended the connection while nothing was out on it, and its reader has
// not had its turn to see that. What is queued has not begun: it goes elsewhere, and says nothing of the node.
func (c *nodeConn) endedIdle(conn net.Conn) bool {
	written := slices.ContainsFunc(c.out, func(s *sending) bool { return s.state != queued })
	if written || !socket.PeerEnded(conn) {
		return false
	}
	endedWhileIdle.Inc()
	return true
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
