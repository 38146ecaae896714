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
	// maxLineBytes is the maximum length of a call's line: a word and a replica's id.
	maxLineBytes = 256
	// callTimeout is the time from accepting a connection within which its complete line must arrive.
	callTimeout = 5 * time.Second
	// minConnTime is the age below which a connection is not closed in favour of a newer one, because its line may
	// still be on the way.
	minConnTime = 20 * time.Millisecond
	// answerTimeout is the time-out for writing an answer to the caller.
	answerTimeout = time.Second
	// lingerTimeout is how long a caller that is still sending has to read its answer.
	lingerTimeout = 200 * time.Millisecond
	// acceptBackoff is the delay before accepting a connection is tried again.
	acceptBackoff = 5 * time.Millisecond
)

// AdminServer answers operators' calls, one call per connection. Set Handler, call Serve, and call Close at the end.
type AdminServer struct {
	Handler Handler

	mu     sync.Mutex
	conns  []*adminConn // oldest first
	closed bool
	wg     sync.WaitGroup // counts the goroutines that serve connections
}

type adminConn struct {
	net.Conn
	acceptedAt time.Time
}

// Serve accepts connections until the listener is closed. It blocks; the caller runs it in a goroutine of its own.
func (s *AdminServer) Serve(l net.Listener) {
	for {
		for !s.ensureFreeConn() {
			time.Sleep(acceptBackoff)
		}
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors, or the caller has disconnected: both are temporary
			time.Sleep(acceptBackoff)
			continue
		}
		s.start(&adminConn{c, time.Now()})
	}
}

// ensureFreeConn reports whether one more connection may be accepted. If MaxConns connections are open, it closes the
// oldest one, unless that is younger than minConnTime. Otherwise callers that send nothing could occupy all
// connections, and an operator would have to wait until these time out.
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

// remove removes a connection from conns. A connection that was closed in favour of a newer one is no longer there.
func (s *AdminServer) remove(c *adminConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.conns, c); i >= 0 {
		s.conns = append(s.conns[:i:i], s.conns[i+1:]...)
	}
}

// Close closes all connections and waits until their goroutines have ended. The listener must be closed before.
func (s *AdminServer) Close() {
	s.mu.Lock()
	s.closed = true
	for _, c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// serveConn answers the single call of a connection. A line without its newline is not a call and is not answered.
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

// linger ends a connection after its answer. Closing a connection while bytes from the caller are unread would reset
// it, and the caller would lose the answer in flight. So linger first closes the sending side, and then reads and
// discards up to maxLineBytes for lingerTimeout.
func (c *adminConn) linger() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
	c.SetReadDeadline(time.Now().Add(lingerTimeout))
	io.Copy(io.Discard, io.LimitReader(c, maxLineBytes))
}
