// Package operator is the door through which operators' staff speak to a running coordinator: one line a connection,
// answered by a line that begins with 200 or 400. It also keeps what they have said across an upgrade.
package operator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"time"
)

// MaxConns is how many connections a Door holds at once.
const MaxConns = 16

const (
	longestLine = 256                    // bytes; a call is a word and a node's id
	lineTime    = 5 * time.Second        // for a whole line; callers who say nothing stay for less
	freshTime   = 20 * time.Millisecond  // a caller that came within this is not displaced: its line may be on its way
	answerTime  = time.Second            // for a caller to take its answer
	lingerTime  = 200 * time.Millisecond // for a caller that still sends to see its answer
	acceptPause = 5 * time.Millisecond   // before another look for room
)

// Handler does what calls ask for. The error says why not.
type Handler interface {
	Status() error
	Out(id, by string) error
	Back(id, by string) error
}

// AdminServer takes calls.
type AdminServer struct {
	Handler Handler

	mu     sync.Mutex
	conns  []*caller // in order of coming
	closed bool
	wg     sync.WaitGroup
}

type caller struct {
	net.Conn
	came time.Time
}

// Serve accepts until the listener is closed.
func (d *AdminServer) Serve(l net.Listener) {
	for {
		for !d.room() {
			time.Sleep(acceptPause)
		}
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors, or the caller was gone already
			time.Sleep(acceptPause)
			continue
		}
		d.start(&caller{c, time.Now()})
	}
}

// room makes room for a caller, where it can: the one that has been here longest goes.
func (d *AdminServer) room() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.conns) < MaxConns {
		return true
	}
	if time.Since(d.conns[0].came) < freshTime {
		return false
	}
	d.conns[0].Close()
	d.conns = d.conns[1:]
	return true
}

func (d *AdminServer) start(c *caller) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		c.Close()
		return
	}
	d.conns = append(d.conns, c)
	d.wg.Go(func() {
		d.serve(c)
		c.Close()
		d.mu.Lock()
		defer d.mu.Unlock()
		for i, o := range d.conns {
			if o == c {
				d.conns = append(d.conns[:i:i], d.conns[i+1:]...)
				break
			}
		}
	})
}

// Close ends all connections; the listener has to be closed before.
func (d *AdminServer) Close() {
	d.mu.Lock()
	d.closed = true
	for _, c := range d.conns {
		c.Close()
	}
	d.mu.Unlock()
	d.wg.Wait()
}

// serve answers one call.
func (d *AdminServer) serve(c *caller) {
	c.SetReadDeadline(c.came.Add(lineTime))
	line, err := bufio.NewReaderSize(c, longestLine).ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		err = fmt.Errorf("the line is longer than %d bytes", longestLine)
	case err != nil: // half a call is none
		return
	default:
		err = d.call(string(line), c.RemoteAddr().String())
	}
	answer := "200 ok\n"
	if err != nil {
		answer = "400 " + strings.ReplaceAll(err.Error(), "\n", " ") + "\n"
	}
	c.SetWriteDeadline(time.Now().Add(answerTime))
	if _, err := io.WriteString(c, answer); err != nil {
		slog.Warn("operator's call not answered", "call", strings.TrimSpace(string(line)), "err", err)
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok { // closing over unread bytes would reset the answer on its way
		tcp.CloseWrite()
	}
	c.SetReadDeadline(time.Now().Add(lingerTime))
	io.Copy(io.Discard, io.LimitReader(c, longestLine))
}

// call does what a line asks for.
func (d *AdminServer) call(line, by string) error {
	word, id, err := parse(line)
	switch {
	case err != nil:
		return err
	case word == "status":
		return d.Handler.Status()
	case word == "maint-on":
		return d.Handler.Out(id, by)
	default:
		return d.Handler.Back(id, by)
	}
}

// parse reads a call. It is strict, for a call misread takes out the wrong node.
func parse(line string) (word, id string, err error) {
	words := strings.Split(strings.TrimRight(line, "\r\n"), " ")
	takes := map[string]int{"status": 0, "maint-on": 1, "maint-off": 1}
	n, known := takes[words[0]]
	switch {
	case !known:
		return "", "", fmt.Errorf("unknown call %.40q; there are status, maint-on ID and maint-off ID", words[0])
	case len(words) != 1+n:
		return "", "", fmt.Errorf("%s takes %d ids, got %d words", words[0], n, len(words)-1)
	case n == 0:
		return words[0], "", nil
	case words[1] == "" || strings.ContainsFunc(words[1], func(c rune) bool { return c <= ' ' || c == 0x7f || c == 0xfffd }):
		return "", "", fmt.Errorf("%.40q is no node's id", words[1])
	}
	return words[0], words[1], nil
}
