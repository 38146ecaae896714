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

// lookTime is how long bytes may take to be read that were there before a deadline.
const lookTime = 50 * time.Millisecond

// read takes answers until the connection ends, or until it is of no more use. An answer that has begun has
// to come in whole within a time, so that one which never ends does not hold up those behind it.
func (c *nodeConn) read(conn net.Conn) {
	var b buffer.Buffer
	for begun := false; ; {
		for {
			letter, rest, ok, err := nextFrame(&b)
			if err != nil {
				c.spoil(b.Bytes(), err)
				return
			}
			if !ok {
				break
			}
			begun = false
			if !c.frame(letter, rest, b.Len() > 0) {
				return
			}
		}
		_, quiet, trusted := c.nodes.times()
		switch {
		case b.Len() == 0: // a look now and then whether it is of use still
			conn.SetReadDeadline(time.Now().Add(trusted))
		case c.retire(0): // nobody waits for it, and it would spoil the next answer
			return
		case !begun:
			begun = true
			conn.SetReadDeadline(time.Now().Add(quiet))
		}
		_, err := b.Fill(conn)
		switch late := errors.Is(err, os.ErrDeadlineExceeded); {
		case late && socket.Unread(conn): // we were held up: what came in time counts
			conn.SetReadDeadline(time.Now().Add(lookTime))
		case late && b.Len() > 0:
			c.spoil(b.Bytes(), errors.New("platform: frame does not end"))
			return
		case err != nil && (!late || c.retire(trusted)):
			return
		}
	}
}

// frame handles one frame; false means that the connection is of no more use. behind tells that more has
// come in with it.
func (c *nodeConn) frame(letter byte, rest []byte, behind bool) bool {
	switch letter {
	case frameAnswer:
		a, err := parseAnswer(rest)
		if err != nil {
			c.spoil(appendFrame(nil, letter, rest), err)
			return false
		}
		s, known := c.find(a.id)
		if !known {
			c.spoil(nil, fmt.Errorf("platform: answer to nobody: %q", a.id))
			return false
		}
		if s == nil { // a second copy, or the answer to what was given up
			return true
		}
		c.nodes.mu.Lock()
		c.hear(s)
		useless := behind && len(c.out) == 1
		if useless { // what comes behind the last answer is spoilt: no call may be sent after it
			c.shut()
		}
		c.nodes.mu.Unlock()
		c.end(s, a.outcome, a.value)
		return !useless
	case frameFault: // the node closes the connection
		slog.Debug("node could not use a frame", "node", c.node, "words", string(rest))
		return false
	}
	c.spoil(nil, fmt.Errorf("platform: unknown letter %q", letter))
	return false
}

// spoil marks the connection as spoilt by an answer that cannot be read; data is that answer from its
// length on, as far as it has come in. If it names no part that is out, it belongs to the only one, if there
// is just one. The reader then ends, and finish tells the outcomes.
func (c *nodeConn) spoil(data []byte, err error) {
	slog.Debug("spoilt answer", "node", c.node, "err", err)
	var guilty *sending
	if len(data) > frameHead && data[frameHead] == frameAnswer {
		id, _, _ := bytes.Cut(data[frameHead+1:], []byte(" "))
		guilty, _ = c.find(string(id))
	}
	c.nodes.mu.Lock()
	defer c.nodes.mu.Unlock()
	var written []*sending
	for _, s := range c.out {
		if s.state != queued {
			written = append(written, s)
		}
	}
	if guilty == nil && len(written) == 1 {
		guilty = written[0]
	}
	c.guilty = guilty
	c.discard()
}

// find is the attempt that an answer belongs to: the part's first that is written and not given up, or
// else one that is given up and not settled yet. known tells that the part is, or was, asked for here.
func (c *nodeConn) find(id string) (found *sending, known bool) {
	c.nodes.mu.Lock()
	defer c.nodes.mu.Unlock()
	for _, s := range c.out {
		if s.id == id && s.state != queued && (found == nil || found.givenUp && !s.givenUp) {
			found = s
		}
	}
	return found, found != nil || slices.Contains(c.past, id)
}
