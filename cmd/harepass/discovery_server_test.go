package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// poll is a request for discovery's endpoint list.
type poll struct {
	hold time.Duration // how long the answer may wait while nothing changes
	from int           // version that the caller has; -1 for none
}

// parsePoll reads the parameters of a request for the list.
func parsePoll(r *http.Request) poll {
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil {
		from = -1
	}
	return poll{time.Duration(hold) * time.Millisecond, from}
}

// isWatch reports whether the caller asks the server to wait for a change.
func (p poll) isWatch() bool { return p.hold > time.Millisecond }

// waitFor waits until a condition holds, but no longer than the answer may wait, and reports whether it holds.
func (p poll) waitFor(interval time.Duration, condition func() bool) bool {
	for end := time.Now().Add(p.hold); time.Now().Before(end); time.Sleep(interval) {
		if condition() {
			return true
		}
	}
	return condition()
}

// answer writes an empty update if the caller has the version already, and otherwise the complete list of the process's
// replicas.
func (p poll) answer(w http.ResponseWriter, process *limitedProcess, version int, state func(replica int) string) {
	if p.from == version {
		fmt.Fprintf(w, `{"index":%d,"snapshot":false,"endpoints":[]}`, version)
		return
	}
	w.Write(process.listing(version, state))
}

// crowdedDiscovery serves the endpoint list until it is overloaded (crowded) or rejects polls.
type crowdedDiscovery struct {
	process     *limitedProcess
	crowded     atomic.Bool   // open watches get no answer, and each poll waits before its connection is reset
	rejecting   atomic.Bool   // open watches get no answer, and each poll is rejected at once: the queue is full
	resetDelay  time.Duration // how long a poll waits while discovery is crowded
	failedPolls atomic.Int32  // polls that arrived while discovery was crowded or rejecting
	listChanged atomic.Bool   // the list has the first two replicas as draining; set by a failed poll or by the test
}

// pollFailed counts a poll that gets no list, and changes the list.
func (d *crowdedDiscovery) pollFailed() {
	d.failedPolls.Add(1)
	d.listChanged.Store(true)
}

// ServeHTTP implements http.Handler.
func (d *crowdedDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.rejecting.Load() {
		d.pollFailed()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if d.crowded.Load() {
		d.pollFailed()
		time.Sleep(d.resetDelay)
		if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
		return
	}
	version, state := 1, inService
	if d.listChanged.Load() {
		version, state = 2, drainingBefore(2)
	}
	p := parsePoll(r)
	if p.from == version {
		for end := time.Now().Add(p.hold); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if d.crowded.Load() || d.rejecting.Load() {
				<-r.Context().Done()
				return
			}
		}
	}
	p.answer(w, d.process, version, state)
}

// startFleetMember starts one coordinator of a fleet of the given size that polls discovery, waits until it serves, and
// returns discovery's listener.
func startFleetMember(t *testing.T, p *limitedProcess, discovery http.Handler, fleet int) *closableListener {
	p.adaptSettings = func(settings map[string]any) {
		settings["balancers"], settings["me"] = fleet, 7
		settings["rules"].(map[string]any)["ask_every_us"] = (10 * time.Second).Microseconds()
		for _, customer := range settings["customers"].([]any) {
			customer.(map[string]any)["quota_per_s"] = 100000
		}
	}
	l := &closableListener{Listener: listen(t)}
	go http.Serve(l, discovery)
	p.start(p.listing(1, inService), l.Addr().String())
	p.waitServing(0)
	return l
}

// closableListener records the connections that it has accepted, so that a test can simulate the death of the server's
// process.
type closableListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

// Accept implements net.Listener.
func (l *closableListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.conns = append(l.conns, c)
	}
	return c, err
}

// goDown closes the listener, so that new connections are refused, and resets the open ones.
func (l *closableListener) goDown() {
	l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}
