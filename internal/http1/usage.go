package http1

// Usage is what the connections of a Server hold.
type Usage struct {
	Conns   int // connections that are neither evicted nor closed
	Closing int // evicted connections whose socket is not closed yet
	Idle    int // connections that had a request and have none now
	Busy    int // connections with a request between its first byte and its answer

	RequestBytes int // memory in bytes that counts towards Server.MaxRequestBytes
}

// Usage returns what the connections hold now. Any goroutine may call it.
func (s *Server) Usage() Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := Usage{Conns: len(s.conns), Closing: len(s.evicted), Busy: s.busyConns, RequestBytes: s.requestBytes}
	if s.idle != nil {
		u.Idle = s.idle.Len()
	}
	return u
}
