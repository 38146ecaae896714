package http1

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"harepass/internal/test/fake"
)

// FuzzServer plays one client's connection step by step against a model of its states: idle, reading a
// request, handling it, ended. Each request gets one answer, in order, and only when it is handled.
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
	f.Fuzz(func(t *testing.T, steps []byte) {
		synctest.Test(t, func(t *testing.T) { playServer(t, steps[:min(len(steps), 60)]) })
	})
}

func playServer(t *testing.T, steps []byte) {
	var memory fake.Net
	l := memory.Listen("s")
	finish, left := make(chan struct{}), 0
	s := &Server{Limits: small, Handler: func(req *Message, gone <-chan struct{}) *Message {
		select {
		case <-finish:
		case <-gone:
			left++
		}
		return &Message{Status: 200, Header: textproto.MIMEHeader{}, Body: []byte(req.Target)}
	}}
	served := make(chan error)
	go func() { served <- s.Serve(l) }()
	c, err := memory.Dial(context.Background(), "s")
	if err != nil {
		t.Fatal(err)
	}
	var answers strings.Builder // all that the server sends
	ended := make(chan struct{})
	go func() {
		io.Copy(&answers, c)
		close(ended)
	}()
	write := func(text string) { // the server reads one request ahead and lets the rest wait
		go c.Write([]byte(text))
		synctest.Wait()
	}
	begun, whole, handled, wantLeft := 0, 0, 0, 0 // requests begun, sent whole, answered
	draining, stalled, told, blank, open := false, false, false, false, true
	idle := time.Duration(0) // since the last answer
	for _, step := range steps {
		if !open {
			break
		}
		switch step % 8 {
		case 0: // the first half of a request; two may be under way
			if begun == whole && whole-handled < 2 && !stalled {
				write(fmt.Sprintf("GET /%d HTTP/1.1\r\n", begun))
				begun++
			}
		case 1: // the rest of it
			if begun > whole && !stalled {
				write("\r\n")
				whole++
				blank = false
			}
		case 2: // the handler finishes
			if whole > handled {
				finish <- struct{}{}
				synctest.Wait()
				handled++
				idle = 0
				told = stalled && !draining && whole == handled
				if open = !draining && (!stalled || whole > handled); !open {
					time.Sleep(lingerTimeout)
					synctest.Wait()
					select {
					case <-ended:
					default:
						t.Fatalf("%v: the last answer did not end the connection", steps)
					}
				}
			}
		case 3: // the client leaves; what is being handled hears of it, what waits behind does not run
			c.Close()
			synctest.Wait()
			if whole-handled == 1 && !stalled {
				wantLeft = 1
			}
			open = false
		case 4:
			s.Drain()
			draining = true
		case 5: // half a request for longer than it may take, or a pause, which ends a connection that was never used
			time.Sleep(requestTimeout + lingerTimeout)
			synctest.Wait()
			idle += requestTimeout + lingerTimeout
			stalled = stalled || begun > whole
			told = stalled && whole == handled
			if open = whole > handled || handled > 0 && !stalled && !blank && idle < keepAliveTimeout; !open {
				select {
				case <-ended:
				default:
					t.Fatalf("%v: still open after %v", steps, requestTimeout+lingerTimeout)
				}
			}
		case 6: // a pause is nothing to what is being handled
			if begun == whole && whole > handled {
				time.Sleep(time.Hour)
			}
		case 7: // an empty line before a request is nothing, but has to be followed by one
			if begun == handled {
				write("\r\n")
				blank = true
			}
		}
	}
	close(finish)
	synctest.Wait()
	c.Close()
	l.Close()
	s.Shutdown()
	<-ended
	if err := <-served; err != nil {
		t.Error(err)
	}
	if left != wantLeft {
		t.Errorf("%v: %d handlers were told that the client left, want %d", steps, left, wantLeft)
	}
	r, pos := NewAnswerReader(small), strings.NewReader(answers.String())
	for i := 0; i < handled; i++ {
		m, err := r.Read(pos)
		if err != nil || string(m.Body) != fmt.Sprintf("/%d", i) {
			t.Fatalf("%v: answer %d is %+v, %v", steps, i, m, err)
		}
	}
	if m, err := r.Read(pos); told != (err == nil && m.Status == 408) {
		t.Errorf("%v: at the end %+v, %v; told of the delay: %t", steps, m, err, told)
	}
}

// Requests that cannot be read get their status, and the connection ends.
func TestFaultsAreAnswered(t *testing.T) {
	for text, want := range map[string]string{
		"GET\r\n\r\n":            "HTTP/1.1 400 ",
		"GET / HTTP/2.0\r\n\r\n": "HTTP/1.1 505 ",
		"POST / HTTP/1.1\r\nContent-Length: 99\r\n\r\n":                                                                    "HTTP/1.1 413 ",
		"POST / HTTP/1.1\r\nContent-Length: 3000000000\r\n\r\n":                                                            "HTTP/1.1 400 ",
		"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n":                                                                    "HTTP/1.1 400 ",
		"POST / HTTP/1.1\r\nContent-Length: 1, 2\r\n\r\n":                                                                  "HTTP/1.1 400 ",
		"POST / HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /hidden HTTP/1.1\r\n\r\n": "HTTP/1.1 400 ",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked, identity\r\nContent-Length: 0\r\n\r\n":                             "HTTP/1.1 400 ",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-5\r\n":                                                      "HTTP/1.1 400 ",
		"\x16\x03\x01\x02\x00\x01\r\n\r\n":                                                                                 "HTTP/1.1 400 ",
		"GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 300) + "\r\n":                                                        "HTTP/1.1 431 ",
	} {
		synctest.Test(t, func(t *testing.T) {
			here, there := net.Pipe()
			s := &Server{Limits: small, Handler: func(*Message, <-chan struct{}) *Message { panic("handled") }}
			s.start(&conn{Conn: there, server: s})
			go here.Write([]byte(text))
			got, _ := io.ReadAll(here)
			if !strings.HasPrefix(string(got), want) || !strings.Contains(string(got), "Connection: close\r\n") {
				t.Errorf("%q: %q", text, got)
			}
			s.Shutdown()
		})
	}
}

// A bad client gets an error or a close within 3 s of connecting, whatever it does: says nothing, sends half a
// request, or sends a byte now and then without end.
func TestBadClientsAreShortLived(t *testing.T) {
	for _, tc := range []struct{ each, want string }{
		{"", ""},
		{"\r\n", ""}, // empty lines, which are let pass before a request
		{"POST / HTTP/1.1\r\n", "HTTP/1.1 408 "},
		{"POST / HTTP/1.1\r\nContent-Length: 60\r\n\r\n", "HTTP/1.1 408 "},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 408 "},
		{"G", "HTTP/1.1 408 "},
	} {
		synctest.Test(t, func(t *testing.T) {
			here, there := net.Pipe()
			s := &Server{Limits: small, Handler: func(*Message, <-chan struct{}) *Message { panic("handled") }}
			began := time.Now()
			s.start(&conn{Conn: there, server: s})
			go func() {
				for text := tc.each; text != ""; time.Sleep(100 * time.Millisecond) {
					if _, err := here.Write([]byte(text)); err != nil {
						return
					}
					if text = text[:min(1, len(text))]; tc.each == "\r\n" {
						text = tc.each
					}
				}
			}()
			got, _ := io.ReadAll(here)
			if took := time.Since(began); !strings.HasPrefix(string(got), tc.want) || took > 3*time.Second {
				t.Errorf("%q: %q after %v", tc.each, got, took)
			}
			s.Shutdown()
			time.Sleep(time.Second)
		})
	}
}

// When the server is full, the longest idle connection makes room, and busy ones stay.
func TestFullServerShedsIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var memory fake.Net
		l := memory.Listen("s")
		s := &Server{Limits: small, MaxConns: 2, Handler: func(_ *Message, gone <-chan struct{}) *Message {
			<-gone
			return &Message{Status: 200}
		}}
		go s.Serve(l)
		var conns []net.Conn
		ends := func(i int) bool {
			conns[i].SetReadDeadline(time.Now().Add(time.Millisecond))
			_, err := conns[i].Read(make([]byte, 1))
			return err == io.EOF
		}
		for i := range 3 {
			c, err := memory.Dial(context.Background(), "s")
			if err != nil {
				t.Fatal(err)
			}
			conns = append(conns, c)
			time.Sleep(time.Second)
			if i == 0 { // the first is busy, so the second goes, but not before there is a third
				c.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
				synctest.Wait()
			}
			if i == 1 && (ends(0) || ends(1)) {
				t.Error("a connection was shed with no need")
			}
		}
		if ends(0) || !ends(1) || ends(2) {
			t.Error("the second connection should have made way, and no other")
		}
		for _, c := range conns {
			c.Close()
		}
		l.Close()
		s.Shutdown()
	})
}

// A flood of peers that say nothing, or half a request, displaces itself: not who has asked before, nor who is
// being answered, nor what has only just begun.
func TestFloodDisplacesItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var memory fake.Net
		l := memory.Listen("s")
		s := &Server{Limits: small, MaxConns: 12, Handler: func(req *Message, _ <-chan struct{}) *Message {
			if req.Target == "/slow" {
				time.Sleep(1900 * time.Millisecond)
			}
			return &Message{Status: 200}
		}}
		go s.Serve(l)
		join := func(text string) net.Conn {
			c, err := memory.Dial(context.Background(), "s")
			if err != nil {
				t.Fatal(err)
			}
			c.Write([]byte(text))
			synctest.Wait()
			return c
		}
		alive := func(c net.Conn) bool {
			c.SetReadDeadline(time.Now().Add(time.Millisecond))
			_, err := io.Copy(io.Discard, c)
			return err != nil // else its end
		}
		idle, slow := join("GET / HTTP/1.1\r\n\r\n"), join("GET /slow HTTP/1.1\r\n\r\n")
		alive(idle) // takes its answer
		half := join("GET / HT")
		var flood []net.Conn
		for i := range 30 {
			time.Sleep(stalledAfter / 10)
			flood = append(flood, join([]string{"", "POST / "}[i%2]))
			if i == 1 && !alive(half) {
				t.Error("a request that has just begun was cut off")
			}
		}
		if !alive(idle) || !alive(slow) || alive(half) || alive(flood[0]) {
			t.Error("the flood did not displace itself")
		}
		for _, c := range append(flood, idle, slow, half) {
			c.Close()
		}
		l.Close()
		s.Shutdown()
	})
}

// A connection that has only just come makes way for none: its request may be on the way. Before it goes one that
// has been used and is idle, though it has asked before.
func TestNewcomersAreNotDisplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var memory fake.Net
		l := memory.Listen("s")
		s := &Server{Limits: small, MaxConns: 3, Handler: func(*Message, <-chan struct{}) *Message { return &Message{Status: 200} }}
		go s.Serve(l)
		var answered atomic.Int32
		var wg sync.WaitGroup
		come := func() {
			c, err := memory.Dial(context.Background(), "s")
			if err != nil {
				t.Fatal(err)
			}
			wg.Go(func() {
				time.Sleep(newConnGrace / 2) // the way of its first byte
				c.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
				if m, err := NewAnswerReader(small).Read(c); err == nil && m.Status == 200 {
					answered.Add(1)
				}
				c.Read(make([]byte, 1)) // stays for good
				c.Close()
			})
		}
		for range 5 { // each lot fills the server anew
			for range 3 {
				come()
			}
			time.Sleep(newConnGrace)
			synctest.Wait()
		}
		if n := answered.Load(); n != 15 {
			t.Errorf("%d of 15 were answered", n)
		}
		l.Close()
		time.Sleep(2 * keepAliveTimeout)
		wg.Wait()
		s.Shutdown()
	})
}

// Clients that ask once and stay do not pile up: the longest idle connection goes, no busy one and none that is new.
func TestIdleConnectionsAreFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var memory fake.Net
		l := memory.Listen("s")
		s := &Server{Limits: small, MaxConns: 100, MaxIdle: 3, Handler: func(req *Message, gone <-chan struct{}) *Message {
			if req.Target == "/slow" {
				<-gone
			}
			return &Message{Status: 200}
		}}
		go s.Serve(l)
		var conns []net.Conn
		open := make([]atomic.Bool, 7)
		for i, text := range []string{"GET /slow HTTP/1.1\r\n\r\n", "", "GET / HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\n\r\n",
			"GET / HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\n\r\n"} {
			c, err := memory.Dial(context.Background(), "s")
			if err != nil {
				t.Fatal(err)
			}
			conns = append(conns, c)
			open[i].Store(true)
			go func() {
				io.Copy(io.Discard, c)
				open[i].Store(false)
			}()
			c.Write([]byte(text))
			time.Sleep(10 * time.Millisecond)
		}
		for i, want := range []bool{true, true, false, false, true, true, true} {
			if open[i].Load() != want {
				t.Errorf("connection %d: open %t, want %t", i, !want, want)
			}
		}
		for _, c := range conns {
			c.Close()
		}
		l.Close()
		s.Shutdown()
	})
}
