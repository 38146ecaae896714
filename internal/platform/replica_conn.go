package platform

import (
	"net"
	"slices"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
)

// frameState is how far the frame of an attempt has been written.
type frameState int

const (
	frameQueued  frameState = iota // writing has not begun
	frameBegun                     // the frame is being written
	frameWritten                   // the last byte has been written: the part may run
)

// sentAttempt is an attempt that was given to a connection and has not ended.
type sentAttempt struct {
	attempt   *core.Attempt
	id        string // of its part, in frames
	call      *queueItem
	state     frameState
	writtenAt time.Time // when the last byte of its frame was written
	cancelled bool      // Caller.Cancel was called for it
}

// queueItem is an item of a connection's queue: the cancellation of one attempt, or a call, which remains in use until
// its parts are settled.
type queueItem struct {
	parts     []*sentAttempt
	unsettled int          // number of parts that have not ended
	cancels   *sentAttempt // the attempt to cancel; nil for a call
}

// replicaConn is a connection to a replica. The Caller's mu guards its fields.
type replicaConn struct {
	caller           *Caller
	replica          string // id of the replica
	address          string
	queue            []*queueItem  // items that have not been written, oldest first
	wake             chan struct{} // holds a token after an item is queued or the connection is closed
	outstanding      []*sentAttempt
	settledIDs       []string // ids of the parts that were settled here last, the latest last
	calls            int      // number of calls with unsettled parts
	lastUsed         time.Time
	lastAnswer       time.Time    // zero before the first answer
	answersElsewhere int          // calls answered on other connections to the replica while this one was silent
	closed           bool         // no longer in use
	discarded        bool         // ended by this process, as after a malformed answer or a silence; see endOutstanding
	malformedFrom    *sentAttempt // the attempt whose answer was malformed; nil if unknown
	conn             net.Conn     // nil until connected
}

// enqueue queues a call or a cancellation. mu must be held.
func (c *replicaConn) enqueue(item *queueItem) {
	c.queue = append(c.queue, item)
	c.lastUsed = time.Now()
	c.signal()
}

func (c *replicaConn) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// close takes the connection out of use. The connection's goroutines then end the attempts that are outstanding on it.
// mu must be held.
func (c *replicaConn) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.caller.openCount--
	list := slices.DeleteFunc(c.caller.conns[c.replica], func(o *replicaConn) bool { return o == c })
	if c.caller.conns[c.replica] = list; len(list) == 0 { // the replica may have been removed for good
		delete(c.caller.conns, c.replica)
	}
	if c.conn != nil {
		c.conn.Close()
	}
	c.signal()
}

// discard closes the connection and has its outstanding attempts end as Cancelled or NotSent, rather than as failures
// of the replica (see endOutstanding). mu must be held.
func (c *replicaConn) discard() {
	c.discarded = true
	c.close()
}

// silentFor returns how long answers have been awaited without any arriving. mu must be held.
func (c *replicaConn) silentFor() time.Duration {
	i := slices.IndexFunc(c.outstanding, func(s *sentAttempt) bool { return s.state == frameWritten })
	if i < 0 {
		return 0
	}
	if since := c.outstanding[i].writtenAt; since.After(c.lastAnswer) {
		return time.Since(since)
	}
	return time.Since(c.lastAnswer)
}

// recordAnswer records an answer. It also discards each other connection to the replica that has been silent while
// answersToClose later calls were answered elsewhere. mu must be held.
func (c *replicaConn) recordAnswer(s *sentAttempt) {
	c.lastAnswer, c.answersElsewhere = time.Now(), 0
	for _, o := range slices.Clone(c.caller.conns[c.replica]) {
		if q := o.silentFor(); o != c && q > c.caller.ResponseTimeout && time.Since(s.writtenAt) < q {
			if o.answersElsewhere++; o.answersElsewhere >= answersToClose {
				o.discard()
			}
		}
	}
}

// settle removes an attempt from the connection. mu must be held; the outcome must be reported without it.
func (c *replicaConn) settle(s *sentAttempt) {
	c.outstanding = slices.DeleteFunc(c.outstanding, func(o *sentAttempt) bool { return o == s })
	delete(c.caller.attempts, s.attempt)
	c.settledIDs = append(c.settledIDs[max(0, len(c.settledIDs)+1-maxSettledIDs):], s.id)
	c.lastUsed = time.Now()
	if s.call.unsettled--; s.call.unsettled == 0 {
		c.calls--
	}
}

// endAttempt settles an attempt and reports its outcome, if the attempt is still outstanding.
func (c *replicaConn) endAttempt(s *sentAttempt, outcome scatter.Outcome, value []byte) {
	c.caller.mu.Lock()
	isOutstanding := slices.Contains(c.outstanding, s)
	if isOutstanding {
		c.settle(s)
	}
	c.caller.mu.Unlock()
	if isOutstanding {
		c.caller.Reporter.AttemptEnded(s.attempt, outcome, value)
	}
}

// closeIfIdle closes the connection if no answer has been awaited on it for a time, and reports whether it did. The
// check and the close share one lock: a call queued between them would seem to have been refused by the replica.
func (c *replicaConn) closeIfIdle(idleFor time.Duration) bool {
	c.caller.mu.Lock()
	defer c.caller.mu.Unlock()
	if len(c.outstanding) > 0 || time.Since(c.lastUsed) < idleFor {
		return false
	}
	c.close()
	return true
}

// hasIgnored reports whether an attempt was written more than Caller.ResponseTimeout ago and no answer has arrived on
// the connection since. mu must be held.
func (c *replicaConn) hasIgnored(s *sentAttempt) bool {
	return s.state == frameWritten && c.lastAnswer.Before(s.writtenAt) &&
		time.Since(s.writtenAt) > c.caller.ResponseTimeout
}
