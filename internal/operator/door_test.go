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

// desk records calls.
type desk struct {
	mu    sync.Mutex
	calls []string
}

func (d *desk) note(call string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls = append(d.calls, call)
	if strings.HasSuffix(call, "nobody") {
		return errors.New("no node\nnobody is listed")
	}
	return nil
}

func (d *desk) Status() error           { return d.note("status") }
func (d *desk) Out(id, _ string) error  { return d.note("out " + id) }
func (d *desk) Back(id, _ string) error { return d.note("back " + id) }

func openDoor(t *testing.T) (*desk, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &desk{}
	door := &AdminServer{Handler: d}
	served := make(chan struct{})
	go func() { door.Serve(l); close(served) }()
	t.Cleanup(func() { l.Close(); <-served; door.Close() })
	return d, l.Addr().String()
}

// say sends bytes and reads the answer to its end.
func say(address, text string) (string, error) {
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

func TestDoor(t *testing.T) {
	d, address := openDoor(t)
	for _, tc := range []struct{ line, want string }{
		{"status\n", "200 ok\n"},
		{"status\r\n", "200 ok\n"},
		{"maint-on s-1\n", "200 ok\n"},
		{"maint-off s-1\nmaint-off s-2\n", "200 ok\n"}, // one line a connection
		{"maint-on nobody\n", "400 no node nobody is listed\n"},
		{"maint-on\n", "400 maint-on takes 1 ids, got 0 words\n"},
		{"maint-on a b\n", "400 maint-on takes 1 ids, got 2 words\n"},
		{"maint-on  \n", "400 maint-on takes 1 ids, got 2 words\n"},
		{"status now\n", "400 status takes 0 ids, got 1 words\n"},
		{"Status\n", `400 unknown call "Status"; there are status, maint-on ID and maint-off ID` + "\n"},
		{"\n", `400 unknown call ""; there are status, maint-on ID and maint-off ID` + "\n"},
		{"maint-on a\tb\n", `400 "a\tb" is no node's id` + "\n"},
		{strings.Repeat("x", 10*longestLine), "400 the line is longer than 256 bytes\n"},
	} {
		if got, err := say(address, tc.line); got != tc.want || err != nil {
			t.Errorf("%.30q: %q %v, want %q", tc.line, got, err, tc.want)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if got, want := fmt.Sprint(d.calls), "[status status out s-1 back s-1 out nobody]"; got != want {
		t.Errorf("calls %s, want %s", got, want)
	}
}

// Half a call is none, and however many say nothing, one who speaks is heard.
func TestSilentCallers(t *testing.T) {
	d, address := openDoor(t)
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
	if got, err := say(address, "status\n"); got != "200 ok\n" || err != nil {
		t.Fatalf("%q %v", got, err)
	}
	for _, c := range silent {
		c.(*net.TCPConn).CloseWrite()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if got := fmt.Sprint(d.calls); got != "[status]" {
		t.Errorf("calls %s", got)
	}
}

// What is read as a call is that call, written again.
func FuzzParse(f *testing.F) {
	for _, s := range []string{"status\n", "maint-on s-1\n", "maint-off s-1\r\n", "maint-on \x00\n", "maint-on a b", "maint-on\u00a0a\n", "maint-on \xff\n"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, line string) {
		word, id, err := parse(line)
		if err != nil {
			return
		}
		again := word
		if word != "status" {
			again += " " + id
		}
		if strings.TrimRight(line, "\r\n") != again || strings.ContainsAny(id, " \r\n\x00") || word != "status" && id == "" {
			t.Errorf("%q read as %q %q", line, word, id)
		}
	})
}
