package http1

import (
	"slices"

	"harepass/internal/counters"
)

const (
	// freeRequestBytes is the memory in bytes that every connection may use for its requests, so that ordinary ones
	// never depend on what other clients do. What a connection uses beyond it comes out of Server.MaxRequestBytes.
	freeRequestBytes = 12 << 10
	// requestCopies is how often a request is held while it is answered: as it was received, and as the query that the
	// handler makes of it.
	requestCopies = 2
)

// errNoMemory is the fault of a request that would exceed Server.MaxRequestBytes. It has not been handled, so the client
// may send it again.
var errNoMemory = &Error{StatusServiceUnavailable, "no memory for the request"}

// connMemory is the memory in bytes that the requests of a connection take. The server's lock guards it.
type connMemory struct {
	reading  int // received bytes that are not a complete request yet
	complete int // requests that wait or are being answered, with all copies
	charged  int // what the connection takes of Server.MaxRequestBytes
}

// excess returns what the requests take beyond freeRequestBytes.
func (m connMemory) excess() int { return max(0, m.reading+m.complete-freeRequestBytes) }

// reserveReading records the memory of the request that is being received, before more of it is read. It returns false
// if the server has too little left; connections whose requests have stalled are then evicted, for later requests.
func (c *conn) reserveReading(bytes int) bool {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	before := c.memory
	c.memory.reading = bytes
	missing := s.requestBytes + c.memory.excess() - c.memory.charged - s.MaxRequestBytes
	if s.MaxRequestBytes > 0 && missing > 0 && c.memory.excess() > c.memory.charged {
		c.memory = before
		s.evictStalled(missing)
		return false
	}
	c.chargeMemory()
	return true
}

// requestReceived records that the request that was being received is complete.
func (c *conn) requestReceived(size, reading int) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.memory.reading = reading
	c.memory.complete += requestCopies * size
	c.chargeMemory()
}

// requestDone records that a complete request has been answered or dropped.
func (c *conn) requestDone(size int) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.memory.complete -= requestCopies * size
	c.chargeMemory()
}

// readingEnded records that the connection's reader has dropped what it had received.
func (c *conn) readingEnded() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.memory.reading = 0
	c.chargeMemory()
}

// chargeMemory charges the server for what the connection's requests take now. The caller holds the server's lock.
func (c *conn) chargeMemory() {
	c.server.requestBytes += c.memory.excess() - c.memory.charged
	c.memory.charged = c.memory.excess()
}

// evictStalled evicts connections whose incomplete requests have stalled, those without activity for the longest time
// first, until they take as many bytes as are missing. The caller holds the server's lock.
func (s *Server) evictStalled(missing int) {
	var stalled []*conn
	for c := range s.conns {
		if c.memory.charged > 0 && c.openRequests > 0 {
			if rank, evictable := c.evictionRank(); evictable && rank == rankStalled {
				stalled = append(stalled, c)
			}
		}
	}
	slices.SortFunc(stalled, func(x, y *conn) int { return x.lastActivity.Compare(y.lastActivity) })
	for _, c := range stalled {
		if missing <= 0 {
			return
		}
		missing -= c.memory.charged
		s.evict(c, closedForMemory)
	}
}

// closeReasonOf returns the reason of the close after a request that could not be read.
func closeReasonOf(fault *Error) *counters.Counter {
	if fault == errNoMemory {
		return closedForMemory
	}
	return closedBadRequest
}
