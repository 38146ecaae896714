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

// FuzzServer runs random steps on one client connection and compares the result with a model of the connection's
// states: idle, reading a request, handling it, ended. Each request must get one answer, in order, and only after the
// handler has handled it.
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
	f.Add([]byte{0, 1, 0, 1, 3}) // the client leaves after sending two requests
	f.Fuzz(func(t *testing.T, steps []byte) {
		synctest.Test(t, func(t *testing.T) { runServerSteps(t, steps[:min(len(steps), 60)]) })
	})
}

// runServerSteps runs the steps on one connection, and checks what the client received.
func runServerSteps(t *testing.T, steps []byte) {
	s := newServerScenario(t, steps)
	for _, step := range steps {
		if !s.model.open {
			break
		}
		s.step(step)
	}
	s.end()
	s.check()
}

// connModel is the expected state of a connection.
type connModel struct {
	begun, complete, handled int           // numbers of requests that were begun, sent completely, and answered
	clientLeft               int           // number of handlers whose clientLeft must be closed
	draining                 bool          // an answer is the last one if no request has begun behind it
	stalled                  bool          // a request was begun and not completed in time
	timedOut                 bool          // the client must receive a 408
	blank                    bool          // an empty line was sent, and no complete request after it
	open                     bool          // the connection is open
	idle                     time.Duration // time since the last answer, in steps of wait
}

// serverScenario is a server with one client, and the model of their connection.
type serverScenario struct {
	t          *testing.T
	steps      []byte
	model      connModel
	server     *Server
	listener   net.Listener
	served     chan error    // receives the result of Serve
	finish     chan struct{} // each token lets one handler answer
	clientLeft int           // number of handlers whose clientLeft was closed
	client     net.Conn
	answers    strings.Builder // all bytes that the client has read
	ended      chan struct{}   // closed when the client has read the end of the connection
}

// newServerScenario starts the server and connects the client. A handler answers when it receives a token from finish,
// or when the client leaves.
func newServerScenario(t *testing.T, steps []byte) *serverScenario {
	var memory fake.Network
	s := &serverScenario{t: t, steps: steps, model: connModel{open: true}, listener: memory.Listen("s"),
		served: make(chan error), finish: make(chan struct{}), ended: make(chan struct{})}
	s.server = &Server{Limits: small, Handler: func(req *Message, clientLeft <-chan struct{}) *Message {
		select {
		case <-s.finish:
		case <-clientLeft:
			s.clientLeft++
		}
		return &Message{Status: 200, Header: textproto.MIMEHeader{}, Body: []byte(req.Target)}
	}}
	go func() { s.served <- s.server.Serve(s.listener) }()
	var err error
	if s.client, err = memory.Dial(context.Background(), "s"); err != nil {
		t.Fatal(err)
	}
	go func() {
		io.Copy(&s.answers, s.client)
		close(s.ended)
	}()
	return s
}

// write sends text from the client. It does not wait for the server, which may read the text later.
func (s *serverScenario) write(text string) {
	go s.client.Write([]byte(text))
	synctest.Wait()
}

// step runs one step if the model allows it in its present state.
func (s *serverScenario) step(step byte) {
	m := &s.model
	switch step % 8 {
	case 0: // the client sends the first half of a request, while fewer than two complete ones are unanswered
		if m.begun == m.complete && m.complete-m.handled < 2 && !m.stalled {
			s.write(fmt.Sprintf("GET /%d HTTP/1.1\r\n", m.begun))
			m.begun++
		}
	case 1: // the client sends the second half of the request
		if m.begun > m.complete && !m.stalled {
			s.write("\r\n")
			m.complete++
			m.blank = false
		}
	case 2:
		s.finishHandler()
	case 3: // the client leaves: clientLeft is closed for the running handler, and waiting requests are not handled
		s.client.Close()
		synctest.Wait()
		if m.complete > m.handled { // also if a request behind the one that is handled has stalled
			m.clientLeft = 1
		}
		m.open = false
	case 4:
		s.server.Drain()
		m.draining = true
	case 5:
		s.wait()
	case 6: // a long wait does not affect a request that is being handled
		if m.begun == m.complete && m.complete > m.handled {
			time.Sleep(time.Hour)
		}
	case 7: // the server skips an empty line before a request, but the request must follow in time
		if m.begun == m.handled {
			s.write("\r\n")
			m.blank = true
		}
	}
}

// finishHandler lets the running handler answer, and checks that the last answer ends the connection.
func (s *serverScenario) finishHandler() {
	m := &s.model
	if m.complete == m.handled {
		return
	}
	s.finish <- struct{}{}
	synctest.Wait()
	m.handled++
	m.idle = 0
	m.timedOut = m.stalled && m.complete == m.handled
	ends := m.stalled || m.draining && m.begun == m.complete
	if m.open = !ends || m.complete > m.handled; !m.open {
		time.Sleep(lingerTimeout)
		synctest.Wait()
		s.checkEnded("connection still open after its last answer")
	}
}

// wait lets requestTimeout and lingerTimeout pass, which is longer than the server waits for the rest of a request, or
// for the first request of a connection.
func (s *serverScenario) wait() {
	m := &s.model
	time.Sleep(requestTimeout + lingerTimeout)
	synctest.Wait()
	m.idle += requestTimeout + lingerTimeout
	m.stalled = m.stalled || m.begun > m.complete
	m.timedOut = m.stalled && m.complete == m.handled
	keptAlive := m.handled > 0 && !m.stalled && !m.blank && m.idle < keepAliveTimeout
	if m.open = m.complete > m.handled || keptAlive; !m.open {
		s.checkEnded("connection still open after its timeouts")
	}
}

// checkEnded checks that the client has read the end of the connection.
func (s *serverScenario) checkEnded(fault string) {
	select {
	case <-s.ended:
	default:
		s.t.Fatalf("steps %v: %s", s.steps, fault)
	}
}

// end closes the connection and shuts the server down.
func (s *serverScenario) end() {
	close(s.finish)
	synctest.Wait()
	s.client.Close()
	s.listener.Close()
	s.server.Shutdown()
	<-s.ended
	if err := <-s.served; err != nil {
		s.t.Error(err)
	}
}

// check checks for how many handlers clientLeft was closed, and which answers the client has read.
func (s *serverScenario) check() {
	m := &s.model
	if s.clientLeft != m.clientLeft {
		s.t.Errorf("steps %v: clientLeft closed for %d handlers, want %d", s.steps, s.clientLeft, m.clientLeft)
	}
	r, src := NewAnswerReader(small), strings.NewReader(s.answers.String())
	for i := 0; i < m.handled; i++ {
		answer, err := r.Read(src)
		if err != nil || string(answer.Body) != fmt.Sprintf("/%d", i) {
			s.t.Fatalf("steps %v: answer %d is %+v, error %v", s.steps, i, answer, err)
		}
	}
	if answer, err := r.Read(src); m.timedOut != (err == nil && answer.Status == 408) {
		s.t.Errorf("steps %v: after the answers got %+v, error %v; want a 408: %t", s.steps, answer, err, m.timedOut)
	}
}
