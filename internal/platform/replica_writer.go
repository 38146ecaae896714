package platform

import (
	"context"
	"encoding/binary"
	"errors"
	"log/slog"
	"net"
	"slices"
	"syscall"
	"time"

	"harepass/internal/core"
	"harepass/internal/counters"
	"harepass/internal/decide/scatter"
	"harepass/internal/logmsg"
	"harepass/internal/socket"
)

// connsEndedWhileIdle counts the idle connections that the replica had closed when a call was about to be written.
var connsEndedWhileIdle = counters.New("node_connections", "ended_while_idle")

// run connects, writes the queue, and ends the outstanding attempts once the connection has ended.
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

// connect opens the connection. It returns nil if that fails.
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
	slog.Debug("replica connection failed", logmsg.KeyReplica, c.replica, logmsg.KeyError, err)
	if errors.Is(err, syscall.EMFILE) { // this process has no descriptor left, which says nothing about the replica
		c.caller.mu.Lock()
		c.discarded = true
		c.caller.mu.Unlock()
	}
	return nil
}

// endOutstanding ends all outstanding attempts. It runs after the writer has ended, because only then is it known which
// parts may have run. If the replica broke the connection, written attempts end as ConnectionReset and the others as
// ConnectFailed. If the connection was discarded, the attempt whose answer was malformed ends as Errored, and the
// others as Cancelled or NotSent, which say nothing about the replica's health.
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

// write waits until it is woken and writes the queue. It returns false if the connection has ended.
func (c *replicaConn) write(conn net.Conn) bool {
	<-c.wake
	for {
		next, state := c.takeQueued(conn)
		if state != itemTaken {
			return state == queueEmpty
		}
		written := next.frame == nil || c.writeFrame(conn, next)
		for _, s := range next.denied {
			c.endAttempt(s, scatter.NotSent, nil)
		}
		if !written {
			return false
		}
		if next.ended != nil {
			c.endAttempt(next.ended, next.outcome, nil)
		}
	}
}

// queueState is what takeQueued found.
type queueState int

const (
	itemTaken  queueState = iota // an item was taken
	queueEmpty                   // nothing is queued
	connClosed                   // the connection is closed
)

// outgoing is the work for one queued call or cancellation.
type outgoing struct {
	frame   []byte         // nil if nothing is to be written
	parts   []*sentAttempt // the attempts in the frame
	denied  []*sentAttempt // the attempts that may no longer begin
	ended   *sentAttempt   // ends with outcome once the frame is written; nil for a call
	outcome scatter.Outcome
}

// takeQueued takes the oldest queued item. If the replica has closed the connection while it was idle, takeQueued
// discards the connection instead, so that the queued calls are sent elsewhere.
func (c *replicaConn) takeQueued(conn net.Conn) (next outgoing, state queueState) {
	c.caller.mu.Lock()
	defer c.caller.mu.Unlock()
	switch {
	case c.closed:
		return next, connClosed
	case len(c.queue) == 0:
		return next, queueEmpty
	case c.peerEndedWhileIdle(conn):
		c.discard()
		return next, connClosed
	}
	item := c.queue[0]
	c.queue = c.queue[1:]
	if item.cancels != nil {
		return c.cancellation(item.cancels), itemTaken
	}
	return beginCall(item), itemTaken
}

// cancellation returns the work that cancels an attempt: none if the attempt has ended, and no frame if the attempt's
// own frame has not been begun, because its call then skips it. mu must be held.
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

// beginCall begins the parts of a call that may still begin. It skips cancelled parts, whose cancellation is queued
// behind the call. mu must be held.
func beginCall(call *queueItem) (next outgoing) {
	var attempts []*core.Attempt
	for _, s := range call.parts {
		if !s.cancelled {
			attempts = append(attempts, s.attempt)
		}
	}
	var begun []*core.Attempt
	next.frame, begun = core.BeginAll(attempts, callFrame)
	for _, s := range call.parts {
		switch {
		case s.cancelled:
		case slices.Contains(begun, s.attempt):
			s.state = frameBegun
			next.parts = append(next.parts, s)
		default:
			next.denied = append(next.denied, s)
		}
	}
	return next
}

// writeFrame writes a frame and marks its parts as written after its last byte. It returns false if the connection has
// ended. A part whose frame was not written completely has not run. A write that blocks ends when an attempt on the
// connection is cancelled for the second time, which closes the connection.
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

// peerEndedWhileIdle reports whether the replica has closed the connection while no begun attempt was outstanding on
// it, and the reader has not run since. The queued calls have not begun: they are sent elsewhere and say nothing about
// the replica. mu must be held.
func (c *replicaConn) peerEndedWhileIdle(conn net.Conn) bool {
	unsettled := slices.ContainsFunc(c.outstanding, func(s *sentAttempt) bool { return s.state != frameQueued })
	if unsettled || !socket.PeerClosed(conn) {
		return false
	}
	connsEndedWhileIdle.Inc()
	return true
}

// maxPartLine is the size in bytes of the line before a part's body with the longest ids and keys. A longer one only
// costs another allocation.
const maxPartLine = 320

// callFrame returns the frame of a call's parts. Bodies may be large and each part has one, so the frame is allocated
// once.
func callFrame(parts []*core.Attempt) []byte {
	size := frameHeader + 1
	for _, at := range parts {
		size += maxPartLine + len(at.Body)
	}
	frame := append(make([]byte, frameHeader, size), frameCall)
	for _, at := range parts {
		frame = appendPart(frame, at)
	}
	binary.LittleEndian.PutUint32(frame, uint32(len(frame)-frameHeader))
	return frame
}
