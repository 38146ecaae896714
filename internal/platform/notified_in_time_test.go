package platform

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/backoff"
	"harepass/internal/decide/scatter"
)

// faultTime is how long a fault of discovery lasts.
const faultTime = 9 * time.Second

// discoveryFault is a fault of discovery that begins with a change of the list.
type discoveryFault struct {
	name  string
	watch http.HandlerFunc // answers the watch that stands at the change
	polls http.HandlerFunc // answers polls while the fault lasts; nil if they are answered well
	delay time.Duration    // of a poll that is answered well
}

var discoveryFaults = []discoveryFault{
	{"a silent watch", neverAnswers, nil, 0},
	{"a silent watch, and polls that wait to be served", neverAnswers, nil, 1900 * time.Millisecond},
	{"a reset watch", resets, nil, 1900 * time.Millisecond},
	{"unavailable at once", resets, unavailableAfter(0), 0},
	{"overloaded: fails after a second", resets, unavailableAfter(time.Second), 0},
	{"overloaded: fails after two", unavailableAfter(0), unavailableAfter(2 * time.Second), 0},
	{"cut off: no answer at all", neverAnswers, neverAnswers, 0},
	{"unreadable answers", resets, answersUnreadably, 0},
	{"answers that never end", resets, answersWithoutEnd, 0},
}

// faultyDiscovery is a service whose one endpoint begins to drain while a fault begins.
type faultyDiscovery struct {
	fault         discoveryFault
	changed, over atomic.Bool // the change has come; the fault is over
}

func (s *faultyDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	const unchanged = `{"index":7,"endpoints":[]}`
	switch {
	case isWatch(r) && !s.changed.Load():
		if time.Sleep(backoff.WatchHold); !s.changed.Load() {
			io.WriteString(w, unchanged)
			return
		}
		s.fault.watch(w, r)
	case !s.over.Load() && s.fault.polls != nil && s.changed.Load():
		s.fault.polls(w, r)
	case s.changed.Load():
		time.Sleep(s.fault.delay)
		const draining = `{"index":8,"snapshot":%t,"endpoints":[{"name":"a","address":"a:1","status":"terminating"}]}`
		fmt.Fprintf(w, draining, !r.URL.Query().Has("from"))
	default:
		io.WriteString(w, unchanged)
	}
}

// Replicas began to drain at 3.68 s, and coordinators learned it at 11.87 s and 12.7 s: their watches of 10 s had
// fallen silent at 1 s. In a fleet of 273, watches were renewed up to 10 s after their silence had shown. Whatever
// fails, a coordinator has to have a change before it counts as notified: 6 s after discovery had it and could be
// reached. Each fault begins with the change, in fleets of which all can be served in that time.
func TestNotifiedInTime(t *testing.T) {
	for _, fault := range discoveryFaults {
		for seed := range uint64(30) {
			synctest.Test(t, func(t *testing.T) { playDiscoveryFault(t, fault, seed) })
		}
	}
}

func playDiscoveryFault(t *testing.T, fault discoveryFault, seed uint64) {
	service := &faultyDiscovery{fault: fault}
	fx := newDiscoveryFixture("d", readyList())
	fx.serve("d", service.ServeHTTP)
	fx.Schedule = fleetSchedule(seed)
	notified := make(chan time.Time, 1)
	fx.Listed = func(_ scatter.UpdateKind, endpoints []core.Endpoint) {
		if len(endpoints) == 1 && endpoints[0].State == scatter.Draining {
			notified <- time.Now()
		}
	}
	fx.start()
	fx.Subscribe()
	time.Sleep(10*time.Second + time.Duration(seed)*37*time.Millisecond)
	service.changed.Store(true)
	reachable := time.Now()
	if fault.polls != nil {
		time.Sleep(faultTime + time.Duration(seed)*101*time.Millisecond)
		service.over.Store(true)
		reachable = time.Now()
	}
	if took := (<-notified).Sub(reachable); took >= backoff.NotifiedAfter {
		t.Errorf("%s, seed %d: the drain came in %v after discovery had it and could be reached",
			fault.name, seed, took)
	}
	fx.cancel()
	<-fx.done
	time.Sleep(faultTime) // for handlers that still answer
	fx.close()
}

// A reload names another discovery. Its changes count as notified 4 s after, though its first poll is never answered,
// is rejected or fails late, and at whatever moment of the subscription to the old one the reload comes.
func TestNotifiedInTimeAfterReload(t *testing.T) {
	for name, first := range map[string]http.HandlerFunc{
		"never answered": neverAnswers,
		"fails late":     unavailableAfter(1400 * time.Millisecond),
		"rejected":       unavailableAfter(0),
		"unreadable":     answersUnreadably,
	} {
		for seed := range uint64(20) {
			synctest.Test(t, func(t *testing.T) { playReload(t, name, first, seed) })
		}
	}
}

// playReload moves from one service to another that answers its first poll in a way of its own, and others late.
func playReload(t *testing.T, name string, first http.HandlerFunc, seed uint64) {
	fx := newDiscoveryFixture("old", readyList())
	fx.serve("old", func(w http.ResponseWriter, r *http.Request) {
		if isWatch(r) {
			time.Sleep(backoff.WatchHold)
		}
		io.WriteString(w, `{"index":7,"endpoints":[]}`)
	})
	var polls atomic.Int32
	fx.serve("new", func(w http.ResponseWriter, r *http.Request) {
		switch n := polls.Add(1); {
		case n == 1:
			first(w, r)
		case r.URL.Query().Has("from"):
			<-r.Context().Done()
		default:
			time.Sleep(1400 * time.Millisecond) // polls of a fleet are served in turn
			const list = `{"index":3,"snapshot":true,"endpoints":[{"name":"a","address":"a:1","status":"terminating"}]}`
			io.WriteString(w, list)
		}
	})
	fx.Schedule = fleetSchedule(seed)
	notified := make(chan time.Time, 9)
	fx.Listed = func(_ scatter.UpdateKind, endpoints []core.Endpoint) {
		if len(endpoints) > 0 {
			notified <- time.Now()
		}
	}
	fx.start()
	fx.Subscribe()
	time.Sleep(5*time.Second + time.Duration(seed)*53*time.Millisecond)
	startedAt := time.Now()
	fx.SetAddress("new")
	if took := (<-notified).Sub(startedAt); took >= backoff.NotifiedAfterReload {
		t.Errorf("%s, seed %d: the drain came in %v after the reload", name, seed, took)
	}
	fx.close()
	time.Sleep(2 * time.Second)
}
