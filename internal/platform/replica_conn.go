package platform

import (
	"net"
	"slices"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
)

// frameState is how far an attempt is on its connection.
type frameState int

const (
	frameQueued  frameState = iota // its frame has not been begun
	frameBegun                     // its frame is being written
	frameWritten                   // its frame's last byte is written: it may run
)

// sentAttempt is an attempt on a connection that has not ended.
type sentAttempt struct {
	attempt   *core.Attempt
	id        string // names its part on the frames
	call      *queueItem
	state     frameState
	writtenAt time.Time // when its frame's last byte was written
	cancelled bool      // its cancellation has been asked for
}

// queueItem is what a connection's queue holds: a call, which lives on until its parts are settled, or the
// cancellation of one attempt.
type queueItem struct {
	parts     []*sentAttempt
	unsettled int          // parts that have not ended
	cancels   *sentAttempt // the attempt to be cancelled; nil for a call
}

// replicaConn is a connection to a replica. Its fields are guarded by the Caller's lock.
type replicaConn struct {
	caller           *Caller
	replica          string // its id
	address          string
	queue            []*queueItem  // not written yet, oldest first
	wake             chan struct{} // holds a token when something is queued, or when the connection is closed
	outstanding      []*sentAttempt
	settledIDs       []string // the ids that were settled here last, the latest last
	calls            int      // with unsettled parts
	lastUsed         time.Time
	lastAnswer       time.Time    // zero before the first one
	answersElsewhere int          // calls answered on other connections to the replica while this one was silent
	closed           bool         // out of use
	discarded        bool         // closed by us: an answer cannot be read, or none comes any more
	malformedFrom    *sentAttempt // the attempt whose answer could not be read, if that can be told
	conn             net.Conn     // nil before it is connected
}

// enqueue queues a call, or a cancellation. It is called under the lock.
func (c *replicaConn) enqueue(call *queueItem) {
	c.queue = append(c.queue, call)
	c.lastUsed = time.Now()
	c.signal()
}

func (c *replicaConn) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// close takes the connection out of use. It is called under the lock; the connection's goroutines end what is
// outstanding on it.
func (c *replicaConn) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.caller.openCount--
	list := slices.DeleteFunc(c.caller.conns[c.replica], func(o *replicaConn) bool { return o == c })
	if c.caller.conns[c.replica] = list; len(list) == 0 { // the node may be gone for good
		delete(c.caller.conns, c.replica)
	}
	if c.conn != nil {
		c.conn.Close()
	}
	c.signal()
}

// discard closes the connection so that what is outstanding on it is taken back. It is called under the lock.
func (c *replicaConn) discard() {
	c.discarded = true
	c.close()
}

// silentFor is for how long answers have been awaited and none has come. It is called under the lock.
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

// recordAnswer notes an answer, and what it says of the replica's other connections: one that has been silent while
// later calls were answered elsewhere is closed. It is called under the lock.
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

// settle ends an attempt on this connection. It is called under the lock; the caller reports the outcome without it.
func (c *replicaConn) settle(s *sentAttempt) {
	c.outstanding = slices.DeleteFunc(c.outstanding, func(o *sentAttempt) bool { return o == s })
	delete(c.caller.attempts, s.attempt)
	c.settledIDs = append(c.settledIDs[max(0, len(c.settledIDs)+1-maxSettledIDs):], s.id)
	c.lastUsed = time.Now()
	if s.call.unsettled--; s.call.unsettled == 0 {
		c.calls--
	}
}

// endAttempt settles an attempt that is still outstanding and reports its outcome.
func (c *replicaConn) endAttempt(s *sentAttempt, outcome scatter.Outcome, value []byte) {
	c.caller.mu.Lock()
	out := slices.Contains(c.outstanding, s)
	if out {
		c.settle(s)
	}
	c.caller.mu.Unlock()
	if out {
		c.caller.Reporter.AttemptEnded(s.attempt, outcome, value)
	}
}

// closeIfIdle takes the connection out of use if no answer has been awaited for a time, and reports whether it did.
// Both happen under one lock: a call that came in between would pass for one that the replica refused.
func (c *replicaConn) closeIfIdle(since time.Duration) bool {
	c.caller.mu.Lock()
	defer c.caller.mu.Unlock()
	if len(c.outstanding) > 0 || time.Since(c.lastUsed) < since {
		return false
	}
	c.close()
	return true
}

// hasIgnored reports whether the replica has answered nothing for Caller.ResponseTimeout since an attempt was
// written. It is called under the lock.
func (c *replicaConn) hasIgnored(s *sentAttempt) bool {
	return s.state == frameWritten && c.lastAnswer.Before(s.writtenAt) &&
		time.Since(s.writtenAt) > c.caller.ResponseTimeout
}
