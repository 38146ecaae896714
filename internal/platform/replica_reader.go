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
	"harepass/internal/socket"
)

// lateReadTime is how long bytes may take to be read that were there before a deadline.
const lateReadTime = 50 * time.Millisecond

// read takes answers until the connection ends, or until it is of no more use. An answer that has begun has
// to come in whole within a time, so that one which never ends does not hold up those behind it.
func (c *replicaConn) read(conn net.Conn) {
	var b buffer.Buffer
	for begun := false; ; {
		for {
			letter, rest, ok, err := nextFrame(&b)
			if err != nil {
				c.rejectAnswer(b.Bytes(), err)
				return
			}
			if !ok {
				break
			}
			begun = false
			if !c.handleFrame(letter, rest, b.Len() > 0) {
				return
			}
		}
		_, quiet, trusted := c.caller.times()
		switch {
		case b.Len() == 0: // a look now and then whether it is of use still
			conn.SetReadDeadline(time.Now().Add(trusted))
		case c.closeIfIdle(0): // nobody waits for it, and it would spoil the next answer
			return
		case !begun:
			begun = true
			conn.SetReadDeadline(time.Now().Add(quiet))
		}
		_, err := b.Fill(conn)
		switch late := errors.Is(err, os.ErrDeadlineExceeded); {
		case late && socket.Unread(conn): // we were held up: what came in time counts
			conn.SetReadDeadline(time.Now().Add(lateReadTime))
		case late && b.Len() > 0:
			c.rejectAnswer(b.Bytes(), errors.New("platform: frame does not end"))
			return
		case err != nil && (!late || c.closeIfIdle(trusted)):
			return
		}
	}
}

// handleFrame handles one frame and returns false where the connection is of no more use. behind says that more bytes
// have come in with it.
func (c *replicaConn) handleFrame(letter byte, rest []byte, behind bool) bool {
	switch letter {
	case frameAnswer:
		a, err := parseAnswer(rest)
		if err != nil {
			c.rejectAnswer(appendFrame(nil, letter, rest), err)
			return false
		}
		s, known := c.find(a.id)
		if !known {
			c.rejectAnswer(nil, fmt.Errorf("platform: answer to nobody: %q", a.id))
			return false
		}
		if s == nil { // a second copy, or the answer to what was given up
			return true
		}
		c.caller.mu.Lock()
		c.recordAnswer(s)
		useless := behind && len(c.outstanding) == 1
		if useless { // what comes behind the last answer is spoilt: no call may be sent after it
			c.close()
		}
		c.caller.mu.Unlock()
		c.endAttempt(s, a.outcome, a.value)
		return !useless
	case frameError: // the node closes the connection
		slog.Debug("node could not use a frame", "node", c.replica, "words", string(rest))
		return false
	}
	c.rejectAnswer(nil, fmt.Errorf("platform: unknown letter %q", letter))
	return false
}

// rejectAnswer marks the connection as discarded for an answer that cannot be read; data is that answer from its
// length on, as far as it has come in. If it names no part that is outstanding, it belongs to the only one, if there
// is just one. The reader then ends, and endOutstanding reports the outcomes.
func (c *replicaConn) rejectAnswer(data []byte, err error) {
	slog.Debug("spoilt answer", "node", c.replica, "err", err)
	var guilty *sentAttempt
	if len(data) > frameHeader && data[frameHeader] == frameAnswer {
		id, _, _ := bytes.Cut(data[frameHeader+1:], []byte(" "))
		guilty, _ = c.find(string(id))
	}
	c.caller.mu.Lock()
	defer c.caller.mu.Unlock()
	var written []*sentAttempt
	for _, s := range c.outstanding {
		if s.state != queued {
			written = append(written, s)
		}
	}
	if guilty == nil && len(written) == 1 {
		guilty = written[0]
	}
	c.malformedFrom = guilty
	c.discard()
}

// find returns the attempt that an answer belongs to: the part's first that is written and not cancelled, or else one
// that is cancelled and not settled yet. known says that the part is, or was, asked for here.
func (c *replicaConn) find(id string) (found *sentAttempt, known bool) {
	c.caller.mu.Lock()
	defer c.caller.mu.Unlock()
	for _, s := range c.outstanding {
		if s.id == id && s.state != queued && (found == nil || found.cancelled && !s.cancelled) {
			found = s
		}
	}
	return found, found != nil || slices.Contains(c.settledIDs, id)
}
