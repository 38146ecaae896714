package platform

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"slices"
	"time"

	"harepass/internal/buffer"
	"harepass/internal/logmsg"
	"harepass/internal/socket"
)

// lateReadTime is how long bytes may take to be read that had come before a deadline.
const lateReadTime = 50 * time.Millisecond

// read takes answers until the connection ends, or until it is of no more use. An answer that has begun has to come in
// completely within Caller.ResponseTimeout, so that one which never ends does not hold up those behind it.
func (c *replicaConn) read(conn net.Conn) {
	var b buffer.Buffer
	inAnswer := false // an answer has begun, and has its deadline
	for {
		handled, usable := c.handleBuffered(&b)
		if !usable {
			return
		}
		inAnswer = inAnswer && !handled
		_, response, idle := c.caller.times()
		switch {
		case b.Len() == 0: // looks now and then whether the connection is of use still
			conn.SetReadDeadline(time.Now().Add(idle))
		case c.closeIfIdle(0): // nobody waits for these bytes, and they would spoil the next answer
			return
		case !inAnswer:
			inAnswer = true
			conn.SetReadDeadline(time.Now().Add(response))
		}
		_, err := b.Fill(conn)
		switch late := errors.Is(err, os.ErrDeadlineExceeded); {
		case late && socket.HasUnread(conn): // this process was held up: bytes that came in time are read
			conn.SetReadDeadline(time.Now().Add(lateReadTime))
		case late && b.Len() > 0:
			c.rejectAnswer(b.Bytes(), fmt.Errorf("%w: it does not end", errMalformed))
			return
		case err != nil && (!late || c.closeIfIdle(idle)):
			return
		}
	}
}

// handleBuffered handles the complete frames in a buffer. handled says that there was one, usable that the
// connection is of use still.
func (c *replicaConn) handleBuffered(b *buffer.Buffer) (handled, usable bool) {
	for {
		kind, payload, ok, err := nextFrame(b)
		if err != nil {
			c.rejectAnswer(b.Bytes(), err)
			return handled, false
		}
		if !ok {
			return handled, true
		}
		handled = true
		if !c.handleFrame(kind, payload, b.Len() > 0) {
			return handled, false
		}
	}
}

// handleFrame handles one frame and returns false where the connection is of no more use. behind says that more bytes
// have come in with it.
func (c *replicaConn) handleFrame(kind byte, payload []byte, behind bool) (usable bool) {
	switch kind {
	case frameAnswer:
		return c.handleAnswer(payload, behind)
	case frameError: // the replica closes the connection
		slog.Debug("replica rejected a frame", logmsg.KeyReplica, c.replica, "text", string(payload))
		return false
	}
	c.rejectAnswer(nil, fmt.Errorf("%w: unknown letter %q", errMalformed, kind))
	return false
}

// handleAnswer takes an answer. A second copy, or the answer to what was cancelled, changes nothing. What comes
// behind the last answer that was awaited is malformed: the connection is closed before a call could be sent after
// it.
func (c *replicaConn) handleAnswer(payload []byte, behind bool) (usable bool) {
	a, err := parseAnswer(payload)
	if err != nil {
		c.rejectAnswer(appendFrame(nil, frameAnswer, payload), err)
		return false
	}
	s, known := c.find(a.id)
	if !known {
		c.rejectAnswer(nil, fmt.Errorf("%w: answer to nobody: %q", errMalformed, a.id))
		return false
	}
	if s == nil {
		return true
	}
	c.caller.mu.Lock()
	c.recordAnswer(s)
	unasked := behind && len(c.outstanding) == 1
	if unasked {
		c.close()
	}
	c.caller.mu.Unlock()
	c.endAttempt(s, a.outcome, a.value)
	return !unasked
}

// rejectAnswer marks the connection as discarded for an answer that cannot be read; data is that answer from its
// length on, as far as it has come in. If it names no part that is outstanding, it belongs to the only one, if there
// is just one. The reader then ends, and endOutstanding reports the outcomes.
func (c *replicaConn) rejectAnswer(data []byte, err error) {
	slog.Debug("malformed answer", logmsg.KeyReplica, c.replica, logmsg.KeyError, err)
	var failed *sentAttempt
	if len(data) > frameHeader && data[frameHeader] == frameAnswer {
		id, _, _ := bytes.Cut(data[frameHeader+1:], []byte(" "))
		failed, _ = c.find(string(id))
	}
	c.caller.mu.Lock()
	defer c.caller.mu.Unlock()
	var sent []*sentAttempt
	for _, s := range c.outstanding {
		if s.state != frameQueued {
			sent = append(sent, s)
		}
	}
	if failed == nil && len(sent) == 1 {
		failed = sent[0]
	}
	c.malformedFrom = failed
	c.discard()
}

// find returns the attempt that an answer belongs to: the part's first that is written and not cancelled, or else one
// that is cancelled and not settled yet. known says that the part is, or was, asked for here.
func (c *replicaConn) find(id string) (found *sentAttempt, known bool) {
	c.caller.mu.Lock()
	defer c.caller.mu.Unlock()
	for _, s := range c.outstanding {
		if s.id == id && s.state != frameQueued && (found == nil || found.cancelled && !s.cancelled) {
			found = s
		}
	}
	return found, found != nil || slices.Contains(c.settledIDs, id)
}
