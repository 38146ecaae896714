package operator

import (
	"bufio"
	"errors"
	"io"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

// MaxConns is how many connections an AdminServer serves at once.
const MaxConns = 16

const (
	// maxLineBytes bounds a call, which is a word and a replica's id.
	maxLineBytes = 256
	// callTimeout is the time from accepting a connection within which its whole line has to arrive.
	callTimeout = 5 * time.Second
	// minConnTime is the age up to which a connection is not closed for a newer one: its line may be on its way.
	minConnTime = 20 * time.Millisecond
	// answerTimeout is the time in which a caller has to take its answer.
	answerTimeout = time.Second
	// lingerTimeout is the time that a caller which still sends has to read its answer.
	lingerTimeout = 200 * time.Millisecond
	// acceptBackoff is the pause before the next attempt to accept where that is not possible now.
	acceptBackoff = 5 * time.Millisecond
)

// AdminServer answers operators' calls, one for each connection. Set Handler, call Serve, and Close at the end.
type AdminServer struct {
	Handler Handler

	mu     sync.Mutex
	conns  []*adminConn // oldest first
	closed bool
	wg     sync.WaitGroup // of the goroutines that serve connections
}

type adminConn struct {
	net.Conn
	acceptedAt time.Time
}

// Serve accepts connections until the listener is closed. Its caller owns the goroutine.
func (s *AdminServer) Serve(l net.Listener) {
	for {
		for !s.ensureFreeConn() {
			time.Sleep(acceptBackoff)
		}
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors, or the caller had gone already: both pass
			time.Sleep(acceptBackoff)
			continue
		}
		s.start(&adminConn{c, time.Now()})
	}
}

// ensureFreeConn reports whether one more connection may be accepted. Callers that send nothing could take all
// connections, and an operator would wait for their timeouts. So where all are taken the oldest one is closed, unless
// it is very young.
func (s *AdminServer) ensureFreeConn() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) < MaxConns {
		return true
	}
	if time.Since(s.conns[0].acceptedAt) < minConnTime {
		return false
	}
	s.conns[0].Close()
	s.conns = s.conns[1:]
	return true
}

// start serves a connection in a goroutine that Close waits for.
func (s *AdminServer) start(c *adminConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		c.Close()
		return
	}
	s.conns = append(s.conns, c)
	s.wg.Go(func() {
		s.serveConn(c)
		c.Close()
		s.remove(c)
	})
}

// remove forgets a connection; one that was closed for a newer one is forgotten already.
func (s *AdminServer) remove(c *adminConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.conns, c); i >= 0 {
		s.conns = append(s.conns[:i:i], s.conns[i+1:]...)
	}
}

// Close closes all connections and waits until none is served. The listener has to be closed before.
func (s *AdminServer) Close() {
	s.mu.Lock()
	s.closed = true
	for _, c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// serveConn answers the one call of a connection. A call without its line's end is none, and is not answered.
func (s *AdminServer) serveConn(c *adminConn) {
	c.SetReadDeadline(c.acceptedAt.Add(callTimeout))
	line, err := bufio.NewReaderSize(c, maxLineBytes).ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		err = errLineTooLong
	case err != nil:
		return
	default:
		err = s.handle(string(line), c.RemoteAddr().String())
	}
	c.SetWriteDeadline(time.Now().Add(answerTimeout))
	if _, err := io.WriteString(c, answer(err)); err != nil {
		slog.Warn("admin call not answered", "call", strings.TrimSpace(string(line)), "err", err)
		return
	}
	c.linger()
}

// linger ends a connection after its answer. A connection that is closed while bytes of the caller are unread is
// reset, and the caller loses the answer that is on its way. So the caller sees the end first, and the rest is read
// for a while.
func (c *adminConn) linger() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
	c.SetReadDeadline(time.Now().Add(lingerTimeout))
	io.Copy(io.Discard, io.LimitReader(c, maxLineBytes))
}
