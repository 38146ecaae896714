package http1

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"harepass/internal/test/fake"
)

// FuzzServer plays one client's connection step by step against a model of its states: idle, reading a request,
// handling it, ended. Each request gets one answer, in order, and only when it is handled.
func FuzzServer(f *testing.F) {
	f.Add([]byte{0, 1, 2, 0, 1, 2})
	f.Add([]byte{0, 0, 1, 1, 2, 2, 3})
	f.Add([]byte{0, 4, 1, 2, 0, 1})
	f.Add([]byte{0, 1, 3, 2})
	f.Add([]byte{0, 5, 1, 2})
	f.Add([]byte{6, 0, 1, 2, 5})
	f.Add([]byte{0, 1, 4, 2, 5, 0})
	f.Add([]byte{7, 7, 0, 7, 1, 2, 7, 5})
	f.Add([]byte{0, 1, 0, 5, 2})
	f.Add([]byte{0, 1, 0, 1, 3}) // the client leaves behind two requests
	f.Fuzz(func(t *testing.T, steps []byte) {
		synctest.Test(t, func(t *testing.T) { playServer(t, steps[:min(len(steps), 60)]) })
	})
}

// playServer plays the steps of one connection, and checks what the client got.
func playServer(t *testing.T, steps []byte) {
	p := newServerPlay(t, steps)
	for _, step := range steps {
		if !p.model.open {
			break
		}
		p.step(step)
	}
	p.end()
	p.check()
}

// connModel is what has to be true of a connection.
type connModel struct {
	begun, complete, handled int           // requests that were begun, sent completely, and answered
	clientLeft               int           // handlers that are told that the client has left
	draining                 bool          // every answer is the last one
	stalled                  bool          // a request was begun and not finished in time
	timedOut                 bool          // the client gets a 408
	blank                    bool          // an empty line was sent, and no request after it
	open                     bool          // the connection is open
	idle                     time.Duration // since the last answer
}

// serverPlay is a server with one client, and the model of their connection.
type serverPlay struct {
	t          *testing.T
	steps      []byte
	model      connModel
	server     *Server
	listener   net.Listener
	served     chan error // Serve's result
	finish     chan struct{}
	clientLeft int // handlers that were told that the client has left
	client     net.Conn
	answers    strings.Builder // all that the client has read
	ended      chan struct{}   // closed when the client has read the connection's end
}

// newServerPlay starts the server and connects the client. A handler answers when finish gets a token, or when the
// client leaves.
func newServerPlay(t *testing.T, steps []byte) *serverPlay {
	var memory fake.Network
	p := &serverPlay{t: t, steps: steps, model: connModel{open: true}, listener: memory.Listen("s"),
		served: make(chan error), finish: make(chan struct{}), ended: make(chan struct{})}
	p.server = &Server{Limits: small, Handler: func(req *Message, clientLeft <-chan struct{}) *Message {
		select {
		case <-p.finish:
		case <-clientLeft:
			p.clientLeft++
		}
		return &Message{Status: 200, Header: textproto.MIMEHeader{}, Body: []byte(req.Target)}
	}}
	go func() { p.served <- p.server.Serve(p.listener) }()
	var err error
	if p.client, err = memory.Dial(context.Background(), "s"); err != nil {
		t.Fatal(err)
	}
	go func() {
		io.Copy(&p.answers, p.client)
		close(p.ended)
	}()
	return p
}

// write sends text. It does not wait for the server, which reads one request ahead and lets the rest wait.
func (p *serverPlay) write(text string) {
	go p.client.Write([]byte(text))
	synctest.Wait()
}

// step plays one step, where the model allows it.
func (p *serverPlay) step(step byte) {
	m := &p.model
	switch step % 8 {
	case 0: // the first half of a request; two may be under way
		if m.begun == m.complete && m.complete-m.handled < 2 && !m.stalled {
			p.write(fmt.Sprintf("GET /%d HTTP/1.1\r\n", m.begun))
			m.begun++
		}
	case 1: // the rest of it
		if m.begun > m.complete && !m.stalled {
			p.write("\r\n")
			m.complete++
			m.blank = false
		}
	case 2:
		p.finishHandler()
	case 3: // the client leaves; what is being handled is told, what waits behind it does not run
		p.client.Close()
		synctest.Wait()
		if m.complete > m.handled && !m.stalled {
			m.clientLeft = 1
		}
		m.open = false
	case 4:
		p.server.Drain()
		m.draining = true
	case 5:
		p.wait()
	case 6: // a long wait means nothing to what is being handled
		if m.begun == m.complete && m.complete > m.handled {
			time.Sleep(time.Hour)
		}
	case 7: // an empty line before a request means nothing, but has to be followed by one
		if m.begun == m.handled {
			p.write("\r\n")
			m.blank = true
		}
	}
}

// finishHandler lets a handler answer.
func (p *serverPlay) finishHandler() {
	m := &p.model
	if m.complete == m.handled {
		return
	}
	p.finish <- struct{}{}
	synctest.Wait()
	m.handled++
	m.idle = 0
	m.timedOut = m.stalled && !m.draining && m.complete == m.handled
	if m.open = !m.draining && (!m.stalled || m.complete > m.handled); !m.open {
		time.Sleep(lingerTimeout)
		synctest.Wait()
		p.checkEnded("the last answer did not end the connection")
	}
}

// wait is longer than half a request may take, and than a connection may wait for its first one.
func (p *serverPlay) wait() {
	m := &p.model
	time.Sleep(requestTimeout + lingerTimeout)
	synctest.Wait()
	m.idle += requestTimeout + lingerTimeout
	m.stalled = m.stalled || m.begun > m.complete
	m.timedOut = m.stalled && m.complete == m.handled
	keptAlive := m.handled > 0 && !m.stalled && !m.blank && m.idle < keepAliveTimeout
	if m.open = m.complete > m.handled || keptAlive; !m.open {
		p.checkEnded("still open after the timeouts")
	}
}

// checkEnded checks that the client has seen the connection's end.
func (p *serverPlay) checkEnded(fault string) {
	select {
	case <-p.ended:
	default:
		p.t.Fatalf("%v: %s", p.steps, fault)
	}
}

// end ends the connection and the server.
func (p *serverPlay) end() {
	close(p.finish)
	synctest.Wait()
	p.client.Close()
	p.listener.Close()
	p.server.Shutdown()
	<-p.ended
	if err := <-p.served; err != nil {
		p.t.Error(err)
	}
}

// check checks what the handlers were told, and what the client has read.
func (p *serverPlay) check() {
	m := &p.model
	if p.clientLeft != m.clientLeft {
		p.t.Errorf("%v: %d handlers were told that the client left, want %d", p.steps, p.clientLeft, m.clientLeft)
	}
	r, src := NewAnswerReader(small), strings.NewReader(p.answers.String())
	for i := 0; i < m.handled; i++ {
		answer, err := r.Read(src)
		if err != nil || string(answer.Body) != fmt.Sprintf("/%d", i) {
			p.t.Fatalf("%v: answer %d is %+v, %v", p.steps, i, answer, err)
		}
	}
	if answer, err := r.Read(src); m.timedOut != (err == nil && answer.Status == 408) {
		p.t.Errorf("%v: at the end %+v, %v; want a 408: %t", p.steps, answer, err, m.timedOut)
	}
}
