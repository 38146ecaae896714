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

// lateReadTime bounds the time to read bytes that arrived before a deadline, after that deadline has passed. It has an
// effect only within an answer: while no bytes are buffered, read sets another deadline. Each expiry that finds unread
// bytes starts it again, without a limit.
const lateReadTime = 50 * time.Millisecond

// read handles answers until the connection ends or is no longer usable. Each answer has to arrive completely within
// Caller.ResponseTimeout of its first bytes, so that an answer which never ends does not delay those behind it. read
// fetches the time-outs for each read, since Configure may change them. After it has returned, run closes the
// connection, and endOutstanding ends the attempts that remain.
func (c *replicaConn) read(conn net.Conn) {
	var b buffer.Buffer
	inAnswer := false // an answer has begun, and the read deadline is that answer's
	for {
		handled, usable := c.handleBuffered(&b)
		if !usable {
			return
		}
		inAnswer = inAnswer && !handled
		_, response, idle := c.caller.times()
		switch {
		case b.Len() == 0: // the deadline makes the reader check periodically whether the connection is idle
			conn.SetReadDeadline(time.Now().Add(idle))
		case c.closeIfIdle(0): // only if no attempt awaits these bytes, which would corrupt the next answer
			return
		case !inAnswer:
			inAnswer = true
			conn.SetReadDeadline(time.Now().Add(response))
		}
		_, err := b.Fill(conn)
		switch late := errors.Is(err, os.ErrDeadlineExceeded); {
		// If this process was delayed, it still reads bytes that arrived in time. HasUnread cannot tell these from
		// bytes that arrived after the deadline.
		case late && socket.HasUnread(conn):
			conn.SetReadDeadline(time.Now().Add(lateReadTime))
		case late && b.Len() > 0:
			c.rejectAnswer(b.Bytes(), fmt.Errorf("%w: answer incomplete at its time-out", errMalformed))
			return
		case err != nil && (!late || c.closeIfIdle(idle)):
			return
		}
	}
}

// handleBuffered handles the complete frames in a buffer. handled reports whether there was one, and usable whether the
// connection is still usable.
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

// handleFrame handles one frame and returns false if the connection is no longer usable. moreBuffered states that more
// bytes have arrived behind the frame.
func (c *replicaConn) handleFrame(kind byte, payload []byte, moreBuffered bool) (usable bool) {
	switch kind {
	case frameAnswer:
		return c.handleAnswer(payload, moreBuffered)
	case frameError: // the replica closes the connection, so the attempts end as after a connection error
		slog.Debug("replica rejected a frame", logmsg.KeyReplica, c.replica, "text", string(payload))
		return false
	}
	c.rejectAnswer(nil, fmt.Errorf("%w: unknown kind %q", errMalformed, kind))
	return false
}

// handleAnswer handles an answer. A duplicate answer, or one to an attempt that is settled, changes nothing; an
// attempt that is cancelled but not settled takes its answer. Bytes behind the last awaited answer are malformed:
// handleAnswer closes the connection before another call can use it. It need not discard the connection, because no
// other attempt is outstanding on it.
func (c *replicaConn) handleAnswer(payload []byte, moreBuffered bool) (usable bool) {
	a, err := parseAnswer(payload)
	if err != nil {
		c.rejectAnswer(appendFrame(nil, frameAnswer, payload), err)
		return false
	}
	s, known := c.find(a.id)
	if !known {
		c.rejectAnswer(nil, fmt.Errorf("%w: answer to unknown part %q", errMalformed, a.id))
		return false
	}
	if s == nil {
		return true
	}
	c.caller.mu.Lock()
	c.recordAnswer(s)
	hasUnexpectedBytes := moreBuffered && len(c.outstanding) == 1
	if hasUnexpectedBytes {
		c.close()
	}
	c.caller.mu.Unlock()
	c.endAttempt(s, a.outcome, a.value)
	return !hasUnexpectedBytes
}

// rejectAnswer discards the connection because of a malformed answer. data is that answer's frame, from its length
// field on, as far as it has arrived; nil if it cannot name an attempt. If find returns no attempt for data, and
// exactly one outstanding attempt's frame has been begun, the answer counts as that attempt's. The reader then ends,
// and endOutstanding reports the outcomes.
func (c *replicaConn) rejectAnswer(data []byte, err error) {
	slog.Debug("replica answer malformed", logmsg.KeyReplica, c.replica, logmsg.KeyError, err)
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

// find returns the attempt that an answer belongs to: the part's first attempt whose frame has been begun and that is
// not cancelled, or else one that is cancelled but not settled. known reports whether the part has such an attempt or
// is in settledIDs. It is false for a part whose attempts are all queued, or that was settled too long ago.
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
