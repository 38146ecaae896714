package http1

import (
	"math"
	"slices"
	"time"

	"harepass/internal/counters"
	"harepass/internal/socket"
)

const (
	// stalledAfter is the time without a complete request after which a connection is evicted before all others.
	stalledAfter = 500 * time.Millisecond
	// newConnGrace protects a new connection from eviction, because its first byte may be on the way.
	newConnGrace = 50 * time.Millisecond
)

// evictionRank orders connections that may be evicted. Those with the lowest rank are evicted first.
type evictionRank int

const (
	rankStalled evictionRank = iota // no first request, or an incomplete request, for at least stalledAfter
	rankIdle                        // idle after a request
	rankNew                         // no request has begun, for less than stalledAfter
)

// capacity returns the present limit on connections. The caller holds the server's lock.
func (s *Server) capacity() int {
	switch {
	case s.MaxConns == 0:
		return math.MaxInt
	case s.Capacity == nil:
		return s.MaxConns
	}
	return min(s.MaxConns, s.Capacity())
}

// connCount returns the number of connections. Evicted ones count until their sockets are closed, so that the bound on
// descriptors holds. The caller holds the server's lock.
func (s *Server) connCount() int { return len(s.conns) + len(s.evicted) }

// canAcceptNone reports whether there is no capacity for another connection and none can be evicted for it.
func (s *Server) canAcceptNone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connCount() >= s.capacity() && len(s.evicted) == 0 && s.evictionCandidate() == nil
}

// makeCapacity reports whether there is capacity for one more connection, and begins an eviction if there is none. The
// caller calls it again until it returns true.
func (s *Server) makeCapacity() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hasCapacity() {
		return true
	}
	s.evictOne()
	return false
}

// hasCapacity reports whether there is capacity for one more connection. During a shutdown there always is. Connections
// whose close has begun do not count. The caller holds the server's lock.
func (s *Server) hasCapacity() bool {
	return len(s.conns)+s.pendingEvictions() < s.capacity() || s.shuttingDown
}

// evictOne evicts a connection, unless the eviction of another one is pending. The caller holds the server's lock.
func (s *Server) evictOne() {
	if s.pendingEvictions() > 0 {
		return
	}
	if candidate := s.evictionCandidate(); candidate != nil {
		s.evict(candidate, closedEvicted)
	}
}

// pendingEvictions returns the number of evicted connections that are still open. The reader of such a connection
// either closes it, or has read a request and cancels the eviction, so that another connection must be evicted instead.
// The caller holds the server's lock.
func (s *Server) pendingEvictions() (n int) {
	for _, c := range s.evicted {
		if c.state == connOpen {
			n++
		}
	}
	return n
}

// EvictExcess evicts connections at once until no more than the present capacity are left, or no other may be evicted.
// It is for callers whose Capacity has fallen.
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

// evictSurplusIdle evicts the connection that has been idle for the longest time if more than MaxIdle are idle.
// Otherwise clients that send one request and stay connected could leave no capacity for new connections. The caller
// holds the server's lock.
func (s *Server) evictSurplusIdle() {
	if s.MaxIdle > 0 && s.idle.Len() > s.MaxIdle {
		s.evict(s.idle.Front().Value.(*conn), closedSurplus)
	}
}

// evictionCandidate returns the connection to evict next: the one without activity for the longest time among those of
// the lowest rank. It returns nil if no connection may be evicted. The caller holds the server's lock.
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

// evictionRank returns a connection's rank, and whether it may be evicted. A connection may not be evicted while it has
// a complete request, nor while a request is being received or may be on the way. Clients that flood the server with
// connections therefore displace only each other. The caller holds the server's lock.
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

// evict removes a connection from those that are served, and closes it, or asks its reader to close it if it is idle.
// The caller holds the server's lock.
func (s *Server) evict(c *conn, reason *counters.Counter) {
	s.remove(c)
	if c.openRequests > 0 { // an incomplete request, which has stalled
		c.beginClose(reason)
	} else {
		c.requestClose(reason)
	}
	if c.state != connClosed {
		s.evicted = append(s.evicted, c)
	}
}

// cancelEviction restores an evicted connection on which a request has arrived. The caller holds the server's lock.
func (s *Server) cancelEviction(c *conn) {
	if i := slices.Index(s.evicted, c); i >= 0 {
		s.evicted = slices.Delete(s.evicted, i, i+1)
		s.conns[c] = struct{}{}
	}
}

// cutLingering closes the sockets of evicted connections that are still in the state closing, while there are more than
// limit connections. It begins with the oldest eviction. The caller holds the server's lock.
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
