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

// connsEndedWhileIdle counts connections that nodes had ended when a call was about to be written to them.
var connsEndedWhileIdle = counters.New("node_connections", "ended_while_idle")

// run connects, writes what is queued, and ends what is outstanding when the connection breaks.
func (c *replicaConn) run() {
	defer c.endOutstanding()
	conn := c.connect()
	if conn == nil {
		return
	}
	defer conn.Close()
	c.caller.mu.Lock()
	c.conn = conn
	closed := c.closed
	c.caller.mu.Unlock()
	slog.Debug(logmsg.ConnectionOpened, logmsg.KeyReplica, c.replica)
	if closed {
		return
	}
	reading := make(chan struct{})
	go func() {
		defer close(reading)
		c.read(conn)
		c.caller.mu.Lock()
		c.close()
		c.caller.mu.Unlock()
	}()
	for c.write(conn) {
	}
	conn.Close()
	<-reading
}

// connect opens the connection; nil means that it could not be had.
func (c *replicaConn) connect() net.Conn {
	c.caller.mu.Lock()
	onDial := c.caller.onDial
	c.caller.mu.Unlock()
	if onDial != nil {
		onDial()
	}
	timeout, _, _ := c.caller.times()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	conn, err := c.caller.Dial.Connect(ctx, c.address)
	if err == nil {
		return conn
	}
	slog.Debug("connection failed", logmsg.KeyReplica, c.replica, logmsg.KeyError, err)
	if errors.Is(err, syscall.EMFILE) { // no descriptor is left here, which says nothing of the replica
		c.caller.mu.Lock()
		c.discarded = true
		c.caller.mu.Unlock()
	}
	return nil
}

// endOutstanding reports the outcome of all that was still outstanding when the writer has ended, for only then is it
// known what may have run. A connection that the replica broke resets it. One that was discarded for a malformed
// answer fails the part whose answer that was and takes the others back: that says nothing of the replica's health.
func (c *replicaConn) endOutstanding() {
	c.caller.mu.Lock()
	c.close()
	rest := slices.Clone(c.outstanding)
	for _, s := range rest {
		c.settle(s)
	}
	c.caller.mu.Unlock()
	for _, s := range rest {
		outcome := scatter.ConnectFailed
		switch {
		case s == c.malformedFrom:
			outcome = scatter.Errored
		case c.discarded && s.state == frameWritten:
			outcome = scatter.Cancelled
		case c.discarded:
			outcome = scatter.NotSent
		case s.state == frameWritten:
			outcome = scatter.ConnectionReset
		}
		c.caller.Reporter.AttemptEnded(s.attempt, outcome, nil)
	}
}

// write waits for something to write and writes all that is queued; false means that the connection is over.
func (c *replicaConn) write(conn net.Conn) bool {
	<-c.wake
	for {
		next, state := c.takeQueued(conn)
		if state != lookTaken {
			return state == lookEmpty
		}
		for _, s := range next.denied {
			c.endAttempt(s, scatter.NotSent, nil)
		}
		if next.frame != nil && !c.writeFrame(conn, next) {
			return false
		}
		if next.ended != nil {
			c.endAttempt(next.ended, next.outcome, nil)
		}
	}
}

// queueLook is what a writer finds when it looks for something to write.
type queueLook int

const (
	lookTaken queueLook = iota // there was something
	lookEmpty                  // nothing is queued
	lookOver                   // the connection is closed
)

// outgoing is what is to be done for one queued call or cancellation.
type outgoing struct {
	frame   []byte         // nil where nothing is to be written
	parts   []*sentAttempt // in the frame
	denied  []*sentAttempt // may not begin any more
	ended   *sentAttempt   // ends once the frame is written; nil for a call
	outcome scatter.Outcome
}

// takeQueued takes what is queued first. A connection that its replica has ended while idle is discarded instead,
// so that what is queued goes elsewhere.
func (c *replicaConn) takeQueued(conn net.Conn) (next outgoing, state queueLook) {
	c.caller.mu.Lock()
	defer c.caller.mu.Unlock()
	switch {
	case c.closed:
		return next, lookOver
	case len(c.queue) == 0:
		return next, lookEmpty
	case c.peerEndedWhileIdle(conn):
		c.discard()
		return next, lookOver
	}
	call := c.queue[0]
	c.queue = c.queue[1:]
	if call.cancels != nil {
		return c.cancellation(call.cancels), lookTaken
	}
	return beginCall(call), lookTaken
}

// cancellation is what cancels an attempt: nothing, where it has ended meanwhile; no frame, where its own has not
// been begun, for its call skips it. It is called under the lock.
func (c *replicaConn) cancellation(s *sentAttempt) (next outgoing) {
	if !slices.Contains(c.outstanding, s) {
		return next
	}
	next.ended = s
	if s.state == frameQueued {
		next.outcome = scatter.NotSent
		return next
	}
	next.outcome = scatter.Cancelled
	next.frame = appendFrame(nil, frameCancel, []byte(s.id))
	return next
}

// beginCall begins the parts of a call that still may begin. A cancelled one is left out: its cancellation is
// queued behind the call. It is called under the lock.
func beginCall(call *queueItem) (next outgoing) {
	for _, s := range call.parts {
		switch {
		case s.cancelled:
		case s.attempt.Begin():
			s.state = frameBegun
			next.parts = append(next.parts, s)
		default:
			next.denied = append(next.denied, s)
		}
	}
	next.frame = callFrame(next.parts)
	return next
}

// writeFrame writes a frame and notes which parts are out with its last byte; false means that the connection is
// over. A part whose frame was not written completely has never run. A write that blocks is ended when an attempt
// on the connection is cancelled for the second time, which closes it.
func (c *replicaConn) writeFrame(conn net.Conn, next outgoing) bool {
	n, err := conn.Write(next.frame)
	if n == len(next.frame) {
		c.caller.mu.Lock()
		for _, s := range next.parts {
			s.state, s.writtenAt = frameWritten, time.Now()
		}
		c.caller.mu.Unlock()
	}
	return err == nil
}

// peerEndedWhileIdle reports whether the replica has ended the connection while nothing was outstanding on it, and
// its reader has not had its turn to see that. What is queued has not begun: it goes elsewhere, and says nothing of
// the replica. It is called under the lock.
func (c *replicaConn) peerEndedWhileIdle(conn net.Conn) bool {
	unsettled := slices.ContainsFunc(c.outstanding, func(s *sentAttempt) bool { return s.state != frameQueued })
	if unsettled || !socket.PeerClosed(conn) {
		return false
	}
	connsEndedWhileIdle.Inc()
	return true
}

// callFrame is the frame of a call's parts, nil if none is left.
func callFrame(parts []*sentAttempt) []byte {
	if len(parts) == 0 {
		return nil
	}
	var rest []byte
	for _, s := range parts {
		rest = appendPart(rest, s.attempt)
	}
	return appendFrame(nil, frameCall, rest)
}
