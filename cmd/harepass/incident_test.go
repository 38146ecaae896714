package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"harepass/internal/decide/backoff"
	"harepass/internal/test/fake"
)

// This file reproduces the incident of 2026-12-02 (docs/incidents) on real processes and sockets.

const (
	heldUp     = 150 * time.Millisecond // for so long a coordinator may stand still
	drainGrace = time.Second            // of the platform's rule, where the settings say nothing
	wireSlack  = 50 * time.Millisecond
	goneSlack  = 100 * time.Millisecond // an attempt that begins so long after its client left is a break
	crowdSize  = 20                     // clients at once
)

// crowdedDiscovery answers watches until it becomes crowded: then standing watches stay silent, and every call waits before
// its connection is reset.
type crowdedDiscovery struct {
	s       *small
	crowded atomic.Bool
	down    atomic.Bool // refuses each call at once
	waits   time.Duration
	calls   atomic.Int32 // while it is crowded or down
}

func (d *crowdedDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.down.Load() {
		d.calls.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if d.crowded.Load() {
		d.calls.Add(1)
		time.Sleep(d.waits)
		if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
		return
	}
	version := 1
	state := inService
	if d.calls.Load() > 0 { // it has been crowded: the first two nodes drain since
		version, state = 2, func(i int) string { return []string{"terminating", "in_service"}[min(i/2, 1)] }
	}
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	if from, err := strconv.Atoi(r.URL.Query().Get("from")); err == nil && from == version {
		for end := time.Now().Add(time.Duration(hold) * time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if d.crowded.Load() || d.down.Load() {
				<-r.Context().Done()
				return
			}
		}
		fmt.Fprintf(w, `{"index":%d,"snapshot":false,"endpoints":[]}`, version)
		return
	}
	w.Write(d.s.list(version, state))
}

// startFleetMember starts one coordinator of a fleet of so many before a discovery, and waits until it serves.
func startFleetMember(t *testing.T, s *small, d http.Handler, fleet int) {
	s.adapt = func(settings map[string]any) {
		settings["balancers"], settings["me"] = fleet, 7
		settings["rules"].(map[string]any)["ask_every_us"] = (10 * time.Second).Microseconds()
		for _, customer := range settings["customers"].([]any) {
			customer.(map[string]any)["quota_per_s"] = 100000
		}
	}
	l := listen(t)
	go http.Serve(l, d)
	s.address = l.Addr().String()
	s.config(s.list(1, inService), s.address)
	if err := s.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "it serves", func() bool { return strings.Contains(s.log.String(), "serving") && ask(t, s.native, 0) == 200 })
}

// A data node begins to drain while discovery is crowded: watches fall silent, and calls wait and are reset. Whatever the
// coordinator does about its list, 6 s and the grace later nothing new goes to that node; and once discovery answers, it
// serves again by the new list.
func TestDrainBehindCrowdedDiscovery(t *testing.T) {
	t.Parallel()
	for _, fleet := range []int{3, 35, 300} {
		t.Run(fmt.Sprint(fleet), func(t *testing.T) {
			t.Parallel()
			s := newSmall(t, 256, 6)
			d := &crowdedDiscovery{s: s, waits: 930 * time.Millisecond}
			var mu sync.Mutex
			var late, sent int
			var told time.Time // from when on nothing new may go to the first two nodes
			for _, n := range s.nodes[:2] {
				n.OnPart = func(fake.Part, fake.Kind) {
					mu.Lock()
					defer mu.Unlock()
					if sent++; !told.IsZero() && time.Now().After(told) {
						late++
					}
				}
			}
			startFleetMember(t, s, d, fleet)
			time.Sleep(1500 * time.Millisecond)
			mu.Lock()
			told = time.Now().Add(backoff.NotifiedAfter + drainGrace + wireSlack)
			mu.Unlock()
			d.crowded.Store(true)
			statuses := map[int]int{}
			for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				statuses[ask(t, s.native, 0, 1, 2, 3, 4, 5)]++
			}
			d.crowded.Store(false)
			eventually(t, "it serves again", func() bool { return ask(t, s.native, 0, 1, 2, 3, 4, 5) == 200 })
			mu.Lock()
			defer mu.Unlock()
			if late > 0 {
				t.Errorf("%d of %d parts went to draining nodes after they counted as told; calls to discovery: %d\n%s", late, sent, d.calls.Load(), s.log)
			}
			if sent == 0 || statuses[200] == 0 {
				t.Errorf("no load: %d parts, answers %v", sent, statuses)
			}
			for status := range statuses {
				if status != 200 && status != 429 {
					t.Errorf("answers %v", statuses)
				}
			}
		})
	}
}

// rawClient is a client on a connection of its own that sees each byte's time.
type rawClient struct {
	net.Conn
	in *bufio.Reader
}

func dialRaw(t *testing.T, address string) *rawClient {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &rawClient{c, bufio.NewReader(c)}
}

// send writes a whole request for some sections.
func (c *rawClient) send(t *testing.T, id, class string, budget time.Duration, shards ...int) {
	var parts []string
	for _, s := range shards {
		parts = append(parts, fmt.Sprintf(`{"slice":%d,"mass":%g}`, s, 1/float64(len(shards))))
	}
	body := `{"slices":[` + strings.Join(parts, ",") + `],"filter":"f"}`
	if _, err := fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Caller: kitakaze\r\nX-Budget: %dm\r\nContent-Length: %d\r\n\r\n%s",
		id, class, budget.Milliseconds(), len(body), body); err != nil {
		t.Errorf("%s was not written: %v", id, err)
	}
}

// answered tells whether a whole answer comes within a time.
func (c *rawClient) answered(within time.Duration) (status int, err error) {
	c.SetReadDeadline(time.Now().Add(within))
	res, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}

// heldUpCase is one moment in which a coordinator stands still while its clients act.
type heldUpCase struct {
	name string
	// prepare brings clients to where they are when the coordinator is held up, and returns how long to wait before that.
	prepare func(h *heldUpRun) time.Duration
	during  func(h *heldUpRun) // while it stands still
	stands  time.Duration
	check   func(h *heldUpRun) // after it goes on
}

// heldUpRun is a process, its clients, and when the parts of each request came to a node.
type heldUpRun struct {
	*testing.T
	*small
	clients []*rawClient

	mu    sync.Mutex
	parts map[string][]time.Time // by query
	left  time.Time              // when the clients closed
	reply fake.Reply
}

func (h *heldUpRun) signal(s syscall.Signal) {
	if err := h.cmd.Process.Signal(s); err != nil {
		h.Error(err)
	}
}

// connect opens clients; asked ones have had an answer and rest.
func (h *heldUpRun) connect(asked bool) {
	for i := range crowdSize {
		c := dialRaw(h.T, h.native)
		h.clients = append(h.clients, c)
		if !asked {
			continue
		}
		c.send(h.T, fmt.Sprint("first-", i), "route-lookup", 2*time.Second, i%6)
		if status, err := c.answered(3 * time.Second); status != 200 {
			h.Errorf("the first answer: %d, %v", status, err)
		}
	}
}

// sendAll has every client ask.
func (h *heldUpRun) sendAll() {
	for i, c := range h.clients {
		c.send(h.T, fmt.Sprint("held-", i), "route-lookup", 2*time.Second, i%6)
	}
}

// leaveAll has every client close.
func (h *heldUpRun) leaveAll() {
	for _, c := range h.clients {
		c.Close()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.left = time.Now()
}

// allAnswered fails where some client gets no whole answer.
func (h *heldUpRun) allAnswered() {
	lost := 0
	var last error
	for _, c := range h.clients {
		if _, err := c.answered(3 * time.Second); err != nil {
			lost, last = lost+1, err
		}
	}
	if lost > 0 {
		h.Errorf("%d of %d requests got no answer, the last one: %v", lost, len(h.clients), last)
	}
}

// noneBegun fails where an attempt began long after its client had left.
func (h *heldUpRun) noneBegun() {
	time.Sleep(500 * time.Millisecond)
	h.mu.Lock()
	defer h.mu.Unlock()
	late := 0
	for _, times := range h.parts {
		for _, at := range times {
			if at.Sub(h.left) > goneSlack {
				late++
			}
		}
	}
	if late > 0 {
		h.Errorf("%d attempts began over %v after their clients had left", late, goneSlack)
	}
}

var heldUpCases = []heldUpCase{
	{"requests come before resting connections are closed at a shutdown", func(h *heldUpRun) time.Duration {
		h.connect(true)
		h.signal(syscall.SIGTERM)
		return acceptAfterTerm + restAfterTerm - heldUp/2
	}, (*heldUpRun).sendAll, heldUp, (*heldUpRun).allAnswered},
	{"first requests come before silent connections are closed", func(h *heldUpRun) time.Duration {
		h.connect(false)
		return 2200*time.Millisecond - heldUp/2
	}, (*heldUpRun).sendAll, heldUp, (*heldUpRun).allAnswered},
	{"connections come before the listener is closed", func(h *heldUpRun) time.Duration {
		h.signal(syscall.SIGTERM)
		return acceptAfterTerm - heldUp/2
	}, func(h *heldUpRun) { h.connect(false); h.sendAll() }, heldUp, (*heldUpRun).allAnswered},
	{"clients leave before their parts are sent again", func(h *heldUpRun) time.Duration {
		h.connect(true)
		h.mu.Lock()
		h.reply = fake.Reply{Kind: fake.Fail, After: 60 * time.Millisecond}
		h.mu.Unlock()
		h.sendAll()
		return 20 * time.Millisecond
	}, (*heldUpRun).leaveAll, 2 * heldUp, (*heldUpRun).noneBegun},
	{"clients leave before their requests are read", func(h *heldUpRun) time.Duration {
		h.connect(true)
		return 20 * time.Millisecond
	}, func(h *heldUpRun) { h.sendAll(); h.leaveAll() }, heldUp, (*heldUpRun).noneBegun},
	{"a long query is open at a shutdown", func(h *heldUpRun) time.Duration {
		h.connect(true)
		h.mu.Lock()
		h.reply = fake.Reply{Kind: fake.NoReply}
		h.mu.Unlock()
		for i, c := range h.clients {
			c.send(h.T, fmt.Sprint("long-", i), "conditions-summary", 5*time.Second, 0, 1, 2, 3, 4, 5)
		}
		time.Sleep(50 * time.Millisecond)
		h.signal(syscall.SIGTERM)
		return acceptAfterTerm
	}, func(*heldUpRun) {}, heldUp, func(h *heldUpRun) {
		time.Sleep(killAfter - heldUp) // when the platform may kill
		h.signal(syscall.SIGKILL)
		h.allAnswered()
	}},
}

// A coordinator stands still for a moment, as one of many on busy cores does, and its clients act meanwhile. What timers say
// when it goes on is older than what its sockets hold: every request that came has its answer, and nothing is sent for a
// client that has left.
func TestNoRequestIsLostWhenHeldUp(t *testing.T) {
	t.Parallel()
	for _, c := range heldUpCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSmall(t, 256, 6)
			h := &heldUpRun{T: t, small: s, parts: map[string][]time.Time{}}
			for _, n := range s.nodes {
				n.Script = func(int, int) fake.Reply {
					h.mu.Lock()
					defer h.mu.Unlock()
					return h.reply
				}
				n.OnPart = func(p fake.Part, _ fake.Kind) {
					h.mu.Lock()
					defer h.mu.Unlock()
					query, _, _ := strings.Cut(p.ID, ".")
					h.parts[query] = append(h.parts[query], time.Now())
				}
			}
			startFleetMember(t, s, &crowdedDiscovery{s: s}, 3)
			time.Sleep(c.prepare(h))
			h.signal(syscall.SIGSTOP)
			c.during(h)
			time.Sleep(c.stands)
			h.signal(syscall.SIGCONT)
			c.check(h)
			if t.Failed() {
				t.Log(s.log)
			}
		})
	}
}

// A discovery that is down binds nobody: its nodes are used for as long as that lasts, and no query is refused for it.
func TestServesWhileDiscoveryIsDown(t *testing.T) {
	t.Parallel()
	s := newSmall(t, 256, 6)
	d := &crowdedDiscovery{s: s}
	startFleetMember(t, s, d, 35)
	time.Sleep(1500 * time.Millisecond)
	d.down.Store(true)
	for end := time.Now().Add(2 * backoff.NotifiedAfter); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if status := ask(t, s.native, 0, 1, 2, 3, 4, 5); status != 200 {
			t.Fatalf("a query ended with %d\n%s", status, s.log)
		}
	}
	if d.calls.Load() == 0 {
		t.Error("nobody called")
	}
}

// A process that comes back begins with the later one of two lists: its former self's and that of its configuration. Discovery
// is down meanwhile, so nothing else would tell it that a node drains.
func TestBeginsWithTheLaterList(t *testing.T) {
	t.Parallel()
	s := newSmall(t, 256, 6)
	d := &crowdedDiscovery{s: s}
	dir := t.TempDir()
	s.cmd.Env = append(s.cmd.Env, "TMPDIR="+dir, "PROXY_OPERATOR="+apart(t))
	startFleetMember(t, s, d, 3)
	d.calls.Add(1) // discovery's list changes
	eventually(t, "the list is kept", func() bool {
		names, _ := filepath.Glob(filepath.Join(dir, stateFolder, "*.state"))
		return len(names) == 1 && strings.Contains(readText(names[0]), `"terminating"`)
	})
	d.down.Store(true)
	s.cmd.Process.Kill()
	s.cmd.Wait()
	s.config(s.list(3, func(i int) string {
		if i == 2 {
			return "terminating"
		}
		return "in_service"
	}), s.address)
	again := exec.Command(s.cmd.Path, s.cmd.Args[1:]...)
	again.Env, again.Stderr = s.cmd.Env, s.log
	before := len(s.nodes[2].Received())
	if err := again.Start(); err != nil {
		t.Fatal(err)
	}
	s.cmd = again
	eventually(t, "it serves again", func() bool { return strings.Count(s.log.String(), "phase is=ready") == 2 })
	for range 20 {
		if status := ask(t, s.native, 0, 1, 2, 3, 4, 5); status != 200 {
			t.Errorf("a query ended with %d", status)
		}
	}
	if n := len(s.nodes[2].Received()) - before; n > 0 {
		t.Errorf("%d parts went to a node that the configuration's list has as leaving\n%s", n, s.log)
	}
}

func readText(path string) string {
	data, _ := os.ReadFile(path)
	return string(data)
}
