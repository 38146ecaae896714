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

// brokenDiscoveries serve a listener as a discovery that gives out no list.
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

// A process that knows no list starts while discovery refuses connections, accepts them and says nothing, or fails
// each poll late. It is ready all the same. Nine in ten have 10 s for it; here each has.
func TestReadyWithoutListWhateverDiscoveryDoes(t *testing.T) {
	for name, serve := range brokenDiscoveries {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newLimitedProcess(t, 96, 0)
			l := listen(t)
			go serve(l)
			p.start([]byte(emptyList), l.Addr().String())
			began := time.Now()
			eventually(t, "ready", func() bool { return isReady(p.address) })
			if took := time.Since(began); took > 10*time.Second {
				t.Errorf("ready after %v", took)
			}
		})
	}
}

// Where the settings say that lists are pushed, nobody sends them to a socket that did not subscribe, and a process
// that waited for them was never ready. The program polls its agent, has the list though it knew none, and learns of
// changes.
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
		t.Error("nothing ever went to the replica that drains")
	}
	changed.Store(true)
	time.Sleep(backoff.WatchHold + backoff.WatchSilence)
	before := len(p.replicas[0].Received())
	for range 30 {
		if status := query(t, p.address, 0, 1); status != 200 {
			t.Errorf("a query ended with %d", status)
		}
	}
	if n := len(p.replicas[0].Received()) - before; n > 0 {
		t.Errorf("%d parts went to a replica that had been announced as draining", n)
	}
}

// Replicas begin to drain while every watch is silent: discovery never answers the watch that is open then, but answers
// polls. The drain counts as notified 6 s later, and after the grace the replicas get nothing more.
func TestNoPartToDrainingReplicaBehindSilentWatch(t *testing.T) {
	t.Parallel()
	p := newLimitedProcess(t, 256, 6)
	l := listen(t)
	var silent atomic.Bool
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call := parsePoll(r)
		if call.isWatch() && !silent.Load() && call.waitFor(10*time.Millisecond, silent.Load) {
			<-r.Context().Done() // this watch brings nothing, not even its end
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

// Lists are pushed, so new work has to end half a second after the agent knows that a replica drains. The agent is
// silent from the middle of a watch, which is never answered. Nothing new goes to the replica all the same.
func TestNoPartToDrainingReplicaBehindSilentAgent(t *testing.T) {
	t.Parallel()
	p := newLimitedProcess(t, 256, 6)
	p.listMode = "push"
	l := listen(t)
	var silent, changed atomic.Bool
	watches := make(chan struct{}, 1000) // one for each that has begun
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
