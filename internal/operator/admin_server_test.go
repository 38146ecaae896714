package operator

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// callRecorder is a Handler that records calls. It returns an error for replicas whose id ends in "nobody".
type callRecorder struct {
	mu    sync.Mutex
	calls []string
}

func (h *callRecorder) record(call string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, call)
	if strings.HasSuffix(call, "nobody") {
		return errors.New("no node\nnobody is listed")
	}
	return nil
}

func (h *callRecorder) Status() error                       { return h.record("status") }
func (h *callRecorder) StartMaintenance(id, _ string) error { return h.record("out " + id) }
func (h *callRecorder) EndMaintenance(id, _ string) error   { return h.record("back " + id) }

// startAdminServer runs an AdminServer on a free port until the test ends.
func startAdminServer(t *testing.T) (h *callRecorder, address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h = &callRecorder{}
	server := &AdminServer{Handler: h}
	served := make(chan struct{})
	go func() { server.Serve(l); close(served) }()
	t.Cleanup(func() { l.Close(); <-served; server.Close() })
	return h, l.Addr().String()
}

// send opens a connection, sends a text and reads the answer until the connection ends.
func send(address, text string) (string, error) {
	c, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		return "", err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(c, text); err != nil {
		return "", err
	}
	answer, err := io.ReadAll(c)
	return string(answer), err
}

// The answer to each call is one line that begins with 200 or 400. The answer to a line that is not a valid call says
// what is wrong with the line.
func TestAnswersToCalls(t *testing.T) {
	h, address := startAdminServer(t)
	for _, tc := range []struct{ line, want string }{
		{"status\n", "200 ok\n"},
		{"status\r\n", "200 ok\n"},
		{"maint-on s-1\n", "200 ok\n"},
		{"maint-off s-1\nmaint-off s-2\n", "200 ok\n"}, // only the first line of a connection is read
		{"maint-on nobody\n", "400 no node nobody is listed\n"},
		{"maint-on\n", "400 maint-on takes 1 ids, got 0 words\n"},
		{"maint-on a b\n", "400 maint-on takes 1 ids, got 2 words\n"},
		{"maint-on  \n", "400 maint-on takes 1 ids, got 2 words\n"},
		{"status now\n", "400 status takes 0 ids, got 1 words\n"},
		{"Status\n", `400 unknown call "Status"; there are status, maint-on ID and maint-off ID` + "\n"},
		{"\n", `400 unknown call ""; there are status, maint-on ID and maint-off ID` + "\n"},
		{"maint-on a\tb\n", `400 "a\tb" is no node's id` + "\n"},
		{strings.Repeat("x", 10*maxLineBytes), "400 the line is longer than 256 bytes\n"},
	} {
		if got, err := send(address, tc.line); got != tc.want || err != nil {
			t.Errorf("line %.30q: answer %q, error %v, want %q", tc.line, got, err, tc.want)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if got, want := fmt.Sprint(h.calls), "[status status out s-1 back s-1 out nobody]"; got != want {
		t.Errorf("calls to the handler: %s, want %s", got, want)
	}
}

// Callers that send nothing or an incomplete line open twenty times MaxConns connections. An incomplete call must not
// be carried out, and an operator who calls afterwards must be answered.
func TestSilentCallersDoNotBlockOperator(t *testing.T) {
	h, address := startAdminServer(t)
	var silent []net.Conn
	for i := range 20 * MaxConns {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			io.WriteString(c, "maint-on half-a")
		}
		silent = append(silent, c)
	}
	if got, err := send(address, "status\n"); got != "200 ok\n" || err != nil {
		t.Fatalf("answer to the operator: %q, error %v", got, err)
	}
	for _, c := range silent {
		c.(*net.TCPConn).CloseWrite()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if got := fmt.Sprint(h.calls); got != "[status]" {
		t.Errorf("calls to the handler: %s, want [status]", got)
	}
}
