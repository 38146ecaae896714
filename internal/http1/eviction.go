package http1

import (
	"math"
	"slices"
	"time"

	"harepass/internal/counters"
	"harepass/internal/socket"
)

const (
	// stalledAfter is the time without a complete request after which a connection goes before all others when one
	// has to make way.
	stalledAfter = 500 * time.Millisecond
	// newConnGrace is the time in which a new connection is not evicted: its first byte may be on the way.
	newConnGrace = 50 * time.Millisecond
)

// evictionRank orders connections that may be evicted; lower ones go first.
type evictionRank int

const (
	rankStalled evictionRank = iota // for long without a complete request, or without any
	rankIdle                        // used, and idle
	rankNew                         // no request has come yet
)

// capacity returns how many connections there may be now. It is called under the lock.
func (s *Server) capacity() int {
	switch {
	case s.MaxConns == 0:
		return math.MaxInt
	case s.Capacity == nil:
		return s.MaxConns
	}
	return min(s.MaxConns, s.Capacity())
}

// connCount returns how many connections there are. Evicted ones count until they are closed, so the bound on
// descriptors holds. It is called under the lock.
func (s *Server) connCount() int { return len(s.conns) + len(s.evicted) }

// canAcceptNone reports whether there is no capacity for another connection, and none could be evicted for it.
func (s *Server) canAcceptNone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connCount() >= s.capacity() && len(s.evicted) == 0 && s.evictionCandidate() == nil
}

// makeCapacity reports whether there is capacity for one more connection, and else has one evicted. Its caller asks
// again until there is.
func (s *Server) makeCapacity() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hasCapacity() {
		return true
	}
	s.evictOne()
	return false
}

// hasCapacity reports whether there is capacity for one more connection, as there always is in a shutdown. Connections
// whose close has begun do not count. It is called under the lock.
func (s *Server) hasCapacity() bool {
	return len(s.conns)+s.undecidedEvictions() < s.capacity() || s.shuttingDown
}

// evictOne evicts a connection, unless the eviction of another one is undecided. It is called under the lock.
func (s *Server) evictOne() {
	if s.undecidedEvictions() > 0 {
		return
	}
	if candidate := s.evictionCandidate(); candidate != nil {
		s.evict(candidate, closedEvicted)
	}
}

// undecidedEvictions returns how many evicted connections are open yet: their readers will close them, or have read a
// request and keep them, and then another one has to go. It is called under the lock.
func (s *Server) undecidedEvictions() (n int) {
	for _, c := range s.evicted {
		if c.state == connOpen {
			n++
		}
	}
	return n
}

// EvictExcess evicts connections at once as far as there are more than the present capacity. It is for a caller whose
// Capacity has fallen.
func (s *Server) EvictExcess() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.conns) > s.capacity() {
		candidate := s.evictionCandidate()
		if candidate == nil {
			break
		}
		s.evict(candidate, closedEvicted)
	}
	s.cutLingering(s.capacity())
}

// evictSurplusIdle evicts the connection that has been idle for longest, where more than MaxIdle are. Clients that ask
// once and stay would else hold so many that none is left for new ones. It is called under the lock.
func (s *Server) evictSurplusIdle() {
	if s.MaxIdle > 0 && s.idle.Len() > s.MaxIdle {
		s.evict(s.idle.Front().Value.(*conn), closedSurplus)
	}
}

// evictionCandidate returns the connection that makes way first: the lowest rank, and in it the longest without
// activity; nil where none may. It is called under the lock.
func (s *Server) evictionCandidate() (candidate *conn) {
	var lowest evictionRank
	for c := range s.conns {
		rank, evictable := c.evictionRank()
		if !evictable {
			continue
		}
		if candidate == nil || rank < lowest || rank == lowest && c.lastActivity.Before(candidate.lastActivity) {
			candidate, lowest = c, rank
		}
	}
	return candidate
}

// evictionRank returns a connection's rank, and whether it may be evicted. One with a complete request may not, nor
// one whose request is coming in or may be on the way: a flood of connections displaces itself. It is called under
// the lock.
func (c *conn) evictionRank() (rank evictionRank, evictable bool) {
	waited := time.Since(c.lastActivity)
	switch {
	case c.completeRequests > 0:
		return 0, false
	case c.openRequests > 0 && (waited < stalledAfter || socket.HasUnread(c.Conn)):
		return 0, false
	case !c.used && waited < newConnGrace:
		return 0, false
	case waited >= stalledAfter && (!c.used || c.openRequests > 0):
		return rankStalled, true
	case !c.used:
		return rankNew, true
	}
	return rankIdle, true
}

// evict has a connection make way. It is called under the lock.
func (s *Server) evict(c *conn, reason *counters.Counter) {
	s.remove(c)
	if c.openRequests > 0 { // part of a request, which has stalled
		c.beginClose(reason)
	} else {
		c.requestClose(reason)
	}
	if c.state != connClosed {
		s.evicted = append(s.evicted, c)
	}
}

// cancelEviction keeps an evicted connection on which a request has come. It is called under the lock.
func (s *Server) cancelEviction(c *conn) {
	if i := slices.Index(s.evicted, c); i >= 0 {
		s.evicted = slices.Delete(s.evicted, i, i+1)
		s.conns[c] = struct{}{}
	}
}

// cutLingering closes the sockets of evicted connections that linger in the state closing, the oldest eviction first,
// while there are more than limit connections. It is called under the lock.
func (s *Server) cutLingering(limit int) {
	for _, c := range slices.Clone(s.evicted) {
		if s.connCount() <= limit {
			return
		}
		if c.state != connOpen {
			c.finishClose()
		}
	}
}
