package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"harepass/internal/decide/backoff"
	"harepass/internal/decide/scatter"
	"harepass/internal/inventory"
	"harepass/internal/test/fake"
	"harepass/internal/test/faultinjection"
)

// small is a process of its own under a limit of descriptors that the system holds it to.
type small struct {
	cmd       *exec.Cmd
	log       *faultinjection.Log
	native    string
	discovery string
	address   string // of a discovery that a test serves
	config    func(known []byte, discovery string)
	nodes     []*fake.Replicas
	mode      string                        // of discovery
	adapt     func(settings map[string]any) // changes the example's settings; nil for none
	list      func(version int, state func(node int) string) []byte
}

// settings are the example's, with what this process has otherwise.
func (s *small) settings(t *testing.T, example []byte) map[string]any {
	var settings map[string]any
	if err := json.Unmarshal(example, &settings); err != nil {
		t.Fatal(err)
	}
	settings["discovery"] = s.mode
	if s.adapt != nil {
		s.adapt(settings)
	}
	return settings
}

// apart finds an address that somebody can listen on later: each on a loopback address of its own, where nobody else's port is.
func apart(t *testing.T) string {
	address, err := faultinjection.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// newSmall makes nodes, and a configuration for a process that knows them; it starts nothing.
func newSmall(t *testing.T, sockets, nodes int) *small {
	s := &small{native: apart(t), discovery: apart(t), log: &faultinjection.Log{}, mode: "ask"}
	var addresses []string
	for range nodes {
		f, l := &fake.Replicas{}, listen(t)
		go f.ServeFrames(l)
		s.nodes = append(s.nodes, f)
		addresses = append(addresses, l.Addr().String())
	}
	s.list = func(version int, state func(int) string) []byte {
		l := fake.EndpointList{Index: int64(version), Snapshot: true}
		for i, a := range addresses {
			l.Endpoints = append(l.Endpoints, fake.Endpoint{Name: fmt.Sprint("f", i), Address: a, Zone: "z", Group: i % 3, Status: state(i), Weight: 1})
		}
		data, err := json.Marshal(l)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	settings, err := os.ReadFile("../../deploy/settings.example.json")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	s.config = func(known []byte, discovery string) {
		data, err := json.Marshal(map[string]any{"name": "n1", "listen": s.native, "discovery": discovery, "seed": "1f",
			"limits": map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": sockets}, "known": json.RawMessage(known),
			"settings": s.settings(t, settings)})
		if err == nil {
			err = os.WriteFile(path, data, 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	s.cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, sockets), os.Args[0], "serve")
	s.cmd.Env = append(os.Environ(), "HAREPASS_TEST_RUN=1", "PROXY_CONFIG="+path)
	s.cmd.Stderr = s.log
	t.Cleanup(func() {
		if s.cmd.Process != nil {
			s.cmd.Process.Kill()
			s.cmd.Wait()
		}
	})
	return s
}

func inService(int) string { return "in_service" }

// Clients that ask once and stay, and such that say nothing, fill what descriptors there are while discovery is down, before
// more nodes than a quarter of the descriptors: no query fails for want of one, and discovery, which comes back, and the
// file read again find theirs.
func TestIdleClientsFillTheDescriptors(t *testing.T) {
	const sockets, nodes = 96, 40
	s := newSmall(t, sockets, nodes)
	s.config(s.list(1, inService), s.discovery)
	if err := s.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	get := func(url string) int {
		res, err := http.Get(url)
		if err != nil {
			return 0
		}
		defer res.Body.Close()
		return res.StatusCode
	}
	eventually(t, "ready", func() bool { return get("http://"+s.native+"/health/ready") == 200 })
	fill := func() { // they stay as long as they are let
		for i := range 120 {
			c, err := net.Dial("tcp", s.native)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
			if i%2 == 0 {
				io.WriteString(c, "GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n")
			}
		}
	}
	served := func(when string) { // each on a connection of its own, which has to find a descriptor
		for range 150 {
			status := ask(t, s.native, 0, 1, 2, 3, 4, 5)
			if http.DefaultClient.CloseIdleConnections(); status != 200 {
				t.Errorf("%s: a query ended with %d", when, status)
			}
		}
	}
	for range 3 {
		fill()
		served("while discovery is down")
	}
	held, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.cmd.Process.Pid))
	if err != nil || len(held) < sockets/2 || len(held) > sockets {
		t.Errorf("%d descriptors are held, %v: the test fills none, or too many", len(held), err)
	}
	l, err := net.Listen("tcp", s.discovery)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var told atomic.Bool
	draining := s.list(2, func(i int) string { return []string{"terminating", "in_service"}[min(i, 1)] })
	go fake.ServeDiscovery(l, func() string { told.Store(true); return string(draining) })
	eventually(t, "discovery is asked", func() bool { fill(); return told.Load() })
	time.Sleep(200 * time.Millisecond)
	before := len(s.nodes[0].Received())
	served("with discovery back")
	if n := len(s.nodes[0].Received()) - before; n > 0 {
		t.Errorf("%d parts went to a node that was announced as leaving", n)
	}
	s.config(s.list(1, inService), l.Addr().String())
	s.cmd.Process.Signal(syscall.SIGHUP)
	eventually(t, "the file is read again", func() bool { return strings.Contains(s.log.String(), "configuration reloaded") })
	if strings.Contains(s.log.String(), "too many open files") {
		t.Errorf("descriptors ran out: %s", s.log)
	}
}

// A process that knows no list is ready all the same, whatever discovery does meanwhile: refuses connections, takes them and
// says nothing, or fails each call late. Nine in ten have 10 s for it; here each has.
func TestReadyWithoutAList(t *testing.T) {
	for name, serve := range map[string]func(l net.Listener){
		"down":   func(l net.Listener) { l.Close() },
		"silent": func(net.Listener) {},
		"late": func(l net.Listener) {
			http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(2 * time.Second)
				w.WriteHeader(503)
			}))
		},
		"spoilt": func(l net.Listener) {
			http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "{") }))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSmall(t, 96, 0)
			l := listen(t)
			go serve(l)
			s.config([]byte(`{"index":0,"snapshot":true,"endpoints":[]}`), l.Addr().String())
			if err := s.cmd.Start(); err != nil {
				t.Fatal(err)
			}
			began := time.Now()
			eventually(t, "ready", func() bool {
				res, err := http.Get("http://" + s.native + "/health/ready")
				if err != nil {
					return false
				}
				res.Body.Close()
				return res.StatusCode == 200
			})
			if took := time.Since(began); took > 10*time.Second {
				t.Errorf("ready after %v", took)
			}
		})
	}
}

// A process that is told to end before it is ready ends, by itself and without a fault, whatever discovery does; and one that
// is told to read its file again, over and over, hears that it is to end.
func TestEndBeforeReady(t *testing.T) {
	for name, signals := range map[string][]syscall.Signal{
		"end":          {syscall.SIGTERM},
		"reload, end":  {syscall.SIGHUP, syscall.SIGTERM},
		"end, reload":  {syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP},
		"many reloads": append(slices.Repeat([]syscall.Signal{syscall.SIGHUP}, 200), syscall.SIGTERM),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSmall(t, 96, 0)
			silent := listen(t)
			s.config([]byte(`{"index":0,"snapshot":true,"endpoints":[]}`), silent.Addr().String())
			if err := s.cmd.Start(); err != nil {
				t.Fatal(err)
			}
			eventually(t, "a socket", func() bool { return strings.Contains(s.log.String(), "serving") })
			for _, sig := range signals {
				s.cmd.Process.Signal(sig)
			}
			if err := s.cmd.Wait(); err != nil || !strings.Contains(s.log.String(), "stopped") {
				t.Errorf("the end: %v\n%s", err, s.log)
			}
		})
	}
}

// Where the settings say that lists are pushed nobody sends them to a socket that did not ask: the program asks its agent, has
// the list though it knew none, and hears of changes. Before, no such process was ever ready.
func TestPushedListsAreAskedFor(t *testing.T) {
	t.Parallel()
	s := newSmall(t, 96, 3)
	s.mode = "push"
	l := listen(t)
	var changed atomic.Bool
	go fake.ServeDiscovery(l, func() string {
		if changed.Load() {
			return string(s.list(2, func(i int) string { return []string{"terminating", "in_service"}[min(i, 1)] }))
		}
		return string(s.list(1, inService))
	})
	s.config([]byte(`{"index":0,"snapshot":true,"endpoints":[]}`), l.Addr().String())
	if err := s.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "it serves", func() bool { return strings.Contains(s.log.String(), "serving") && ask(t, s.native, 0, 1) == 200 })
	for range 30 {
		ask(t, s.native, 0, 1)
	}
	if len(s.nodes[0].Received()) == 0 {
		t.Error("nothing ever went to the node that drains")
	}
	changed.Store(true)
	time.Sleep(backoff.WatchHold + backoff.WatchSilence)
	before := len(s.nodes[0].Received())
	for range 30 {
		if status := ask(t, s.native, 0, 1); status != 200 {
			t.Errorf("a query ended with %d", status)
		}
	}
	if n := len(s.nodes[0].Received()) - before; n > 0 {
		t.Errorf("%d parts went to a node that had been announced as leaving", n)
	}
}

// Nodes that begin to drain while every watch has fallen silent get nothing 6 s and their grace later: the whole program, on
// real sockets, under load, at a discovery that answers all but the watch that stands then.
func TestDrainsBehindASilentWatch(t *testing.T) {
	t.Parallel()
	s := newSmall(t, 256, 6)
	l := listen(t)
	var silent atomic.Bool
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
		if hold > 1 && !silent.Load() {
			for end := time.Now().Add(time.Duration(hold) * time.Millisecond); time.Now().Before(end) && !silent.Load(); {
				time.Sleep(10 * time.Millisecond)
			}
			if silent.Load() { // this one brings nothing, not even its end
				<-r.Context().Done()
				return
			}
		}
		version, state := 1, inService
		if silent.Load() {
			version, state = 2, func(i int) string { return []string{"terminating", "in_service"}[min(i/2, 1)] }
		}
		if from, err := strconv.Atoi(r.URL.Query().Get("from")); err == nil && from == version {
			time.Sleep(time.Duration(hold) * time.Millisecond)
			fmt.Fprintf(w, `{"index":%d,"snapshot":false,"endpoints":[]}`, version)
			return
		}
		w.Write(s.list(version, state))
	}))
	s.config(s.list(1, inService), l.Addr().String())
	if err := s.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "it serves", func() bool { return strings.Contains(s.log.String(), "serving") && ask(t, s.native, 0) == 200 })
	time.Sleep(1500 * time.Millisecond)
	silent.Store(true)
	load := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			if status := ask(t, s.native, 0, 1, 2, 3, 4, 5); status != 200 {
				t.Errorf("a query ended with %d", status)
			}
		}
	}
	load(backoff.NotifiedAfter + 300*time.Millisecond)
	count := func() int { return len(s.nodes[0].Received()) + len(s.nodes[1].Received()) }
	before := count()
	if before == 0 {
		t.Error("nothing ever went to the nodes that drain")
	}
	load(time.Second)
	if n := count() - before; n > 0 {
		t.Errorf("%d parts went to nodes that had been announced as leaving", n)
	}
}

// After SIGTERM what the last query has its answer by, and what resting connections are closed by, lie before the platform
// kills: 0.7 s and the longest deadline later, 3 s at most. Deadlines may be short.
func TestEndsBeforeTheKill(t *testing.T) {
	for _, longest := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, time.Second, 3 * time.Second, 8 * time.Second} {
		p := &program{setup: &setup{}}
		p.settings.Classes = append(p.settings.Classes, scatter.Class{Deadline: longest / 2}, scatter.Class{Deadline: longest})
		kill := acceptAfterTerm + min(longest, 3*time.Second)
		if p.closeTime() < acceptAfterTerm || p.closeTime() >= p.drainTime() || p.drainTime() >= kill {
			t.Errorf("deadlines up to %v: connections close at %v, the last answer by %v, the kill at %v", longest, p.closeTime(), p.drainTime(), kill)
		}
	}
}

// Of an end and a reload that are there together the end is heard, whichever came first: nothing is read again.
func TestEndGoesBeforeReload(t *testing.T) {
	for range 100 {
		p := &program{setup: &setup{inventory: &inventory.Reader{}}} // to read it would fail the test: there is no clock
		ends, again := make(chan os.Signal, 1), make(chan os.Signal, 1)
		again <- syscall.SIGHUP
		ends <- syscall.SIGTERM
		p.obey(ends, again)
	}
}
