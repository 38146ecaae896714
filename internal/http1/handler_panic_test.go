package http1

import (
	"io"
	"strings"
	"testing"
	"time"
)

// A request whose handler panics is answered with 500, and its connection ends after that answer. Requests on other
// connections, existing and new, are served as before.
func TestHandlerPanicEndsOneRequest(t *testing.T) {
	inHandler, proceed := make(chan struct{}), make(chan struct{})
	s := &Server{Limits: DefaultLimits, Handler: func(req *Message, _ <-chan struct{}) *Message {
		switch req.Target {
		case "/panic":
			var none []int
			_ = none[len(req.Target)]
		case "/wait":
			inHandler <- struct{}{}
			<-proceed
		}
		return &Message{Status: 200}
	}}
	l := serveOnLoopback(t, s)
	exchange := func(request string) string {
		c := connect(t, l)
		defer c.Close()
		c.SetDeadline(time.Now().Add(5 * time.Second))
		io.WriteString(c, request)
		answer, err := io.ReadAll(c)
		if err != nil {
			t.Errorf("request %.12q: reading the answer failed: %v", request, err)
		}
		return string(answer)
	}
	waiting := make(chan string)
	go func() { waiting <- exchange("GET /wait HTTP/1.1\r\nConnection: close\r\n\r\n") }()
	<-inHandler
	before := countHandlerPanicked.Value()
	answer := exchange("GET /panic HTTP/1.1\r\n\r\nGET /x HTTP/1.1\r\n\r\n")
	if !strings.HasPrefix(answer, "HTTP/1.1 500 ") || strings.Count(answer, "HTTP/1.1") != 1 {
		t.Errorf("request whose handler panics: client read %q, want a single answer with status 500", answer)
	}
	if n := countHandlerPanicked.Value() - before; n != 1 {
		t.Errorf("%d panics counted, want 1", n)
	}
	close(proceed)
	for _, answer := range []string{<-waiting, exchange("GET /x HTTP/1.1\r\nConnection: close\r\n\r\n")} {
		if !strings.HasPrefix(answer, "HTTP/1.1 200 ") {
			t.Errorf("request on another connection: client read %q, want status 200", answer)
		}
	}
	l.Close()
	s.Shutdown()
}
