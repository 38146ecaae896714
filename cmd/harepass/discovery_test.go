package main

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"harepass/internal/decide/backoff"
	"harepass/internal/test/fake"
)

// brokenDiscoveries are servers for a discovery that never returns a list.
var brokenDiscoveries = map[string]func(l net.Listener){
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
}

// A process without a known list starts while discovery refuses connections, accepts them without an answer, fails each
// poll late, or answers with malformed JSON. It becomes ready nevertheless. The requirement is 10 s for nine processes
// in ten; this test requires it of each.
func TestReadyWithoutListWhateverDiscoveryDoes(t *testing.T) {
	for name, serve := range brokenDiscoveries {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newLimitedProcess(t, 96, 0)
			l := listen(t)
			go serve(l)
			p.start([]byte(emptyList), l.Addr().String())
			began := time.Now()
			eventually(t, "the process is ready", func() bool { return isReady(p.address) })
			if took := time.Since(began); took > 10*time.Second {
				t.Errorf("ready after %v, want at most 10 s", took)
			}
		})
	}
}

// The settings say that lists are pushed, but over sockets only a subscriber receives them, and a process that waited
// for a pushed list never became ready. The program therefore polls its agent: it gets the list without a known one,
// and learns of changes.
func TestPushedListsArePolled(t *testing.T) {
	t.Parallel()
	p := newLimitedProcess(t, 96, 3)
	p.listMode = "push"
	l := listen(t)
	var changed atomic.Bool
	go fake.ServeDiscovery(l, func() string {
		if changed.Load() {
			return string(p.listing(2, drainingBefore(1)))
		}
		return string(p.listing(1, inService))
	})
	p.start([]byte(emptyList), l.Addr().String())
	p.waitServing(0, 1)
	for range 30 {
		query(t, p.address, 0, 1)
	}
	if len(p.replicas[0].Received()) == 0 {
		t.Error("no part went to the replica before it drained")
	}
	changed.Store(true)
	time.Sleep(backoff.WatchHold + backoff.WatchSilence)
	before := len(p.replicas[0].Received())
	for range 30 {
		if status := query(t, p.address, 0, 1); status != 200 {
			t.Errorf("query: status %d, want 200", status)
		}
	}
	if n := len(p.replicas[0].Received()) - before; n > 0 {
		t.Errorf("%d parts went to a replica that discovery lists as draining", n)
	}
}

// Replicas begin to drain while watches are silent: discovery never answers the watch that is open at that time, but
// answers polls. The drain counts as notified 6 s later, and after the grace the replicas get no new part.
func TestNoPartToDrainingReplicaBehindSilentWatch(t *testing.T) {
	t.Parallel()
	p := newLimitedProcess(t, 256, 6)
	l := listen(t)
	var silent atomic.Bool
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call := parsePoll(r)
		if call.isWatch() && !silent.Load() && call.waitFor(10*time.Millisecond, silent.Load) {
			<-r.Context().Done() // this watch gets neither an answer nor an end
			return
		}
		version, state := 1, inService
		if silent.Load() {
			version, state = 2, drainingBefore(2)
		}
		if call.from == version {
			time.Sleep(call.hold)
		}
		call.answer(w, p, version, state)
	}))
	p.start(p.listing(1, inService), l.Addr().String())
	p.waitServing(0)
	time.Sleep(1500 * time.Millisecond)
	silent.Store(true)
	p.load(backoff.NotifiedAfter + 300*time.Millisecond)
	p.checkNoPartToDraining(time.Second)
}

// Lists are pushed, so a draining replica may get no new part half a second after the agent knows of its drain. The
// agent falls silent during a watch, which is never answered. The replica gets no new part nevertheless.
func TestNoPartToDrainingReplicaBehindSilentAgent(t *testing.T) {
	t.Parallel()
	p := newLimitedProcess(t, 256, 6)
	p.listMode = "push"
	l := listen(t)
	var silent, changed atomic.Bool
	watches := make(chan struct{}, 1000) // one element for each watch that has begun
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call := parsePoll(r)
		version, state := 1, inService
		if changed.Load() {
			version, state = 2, drainingBefore(2)
		} else if call.isWatch() {
			watches <- struct{}{}
			if call.waitFor(time.Millisecond, silent.Load) {
				<-r.Context().Done()
				return
			}
		}
		call.answer(w, p, version, state)
	}))
	p.start(p.listing(1, inService), l.Addr().String())
	p.waitServing(0)
	p.load(200 * time.Millisecond)
	for len(watches) > 0 {
		<-watches
	}
	<-watches // a watch has just begun
	silent.Store(true)
	time.Sleep(20 * time.Millisecond)
	changed.Store(true)
	p.load(800 * time.Millisecond)
	p.checkNoPartToDraining(700 * time.Millisecond)
}
