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
	watch http.HandlerFunc // answers the watch that is open at the change
	polls http.HandlerFunc // answers polls while the fault lasts; nil if they succeed
	delay time.Duration    // of a poll that succeeds
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

// faultyDiscovery is a service whose only endpoint begins to drain when a fault begins.
type faultyDiscovery struct {
	fault         discoveryFault
	changed, over atomic.Bool // the list has changed; the fault is over
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

// Guards against learning of a change too late. Replicas that began to drain at 3.68 s were known as draining only at
// 11.87 s and 12.7 s, because watches of 10 s had fallen silent at 1 s. In a fleet of 273, watches were renewed up to
// 10 s after their silence was detected. With every fault, a coordinator has to receive a change before it counts as
// notified, 6 s after discovery had it and could be reached. Each fault begins with the change, in fleets that
// discovery can answer in that time.
func TestNotifiedInTime(t *testing.T) {
	for _, fault := range discoveryFaults {
		for seed := range uint64(30) {
			synctest.Test(t, func(t *testing.T) { runDiscoveryFault(t, fault, seed) })
		}
	}
}

func runDiscoveryFault(t *testing.T, fault discoveryFault, seed uint64) {
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
		t.Errorf("%s, seed %d: the drain arrived %v after discovery had it and could be reached",
			fault.name, seed, took)
	}
	fx.cancel()
	<-fx.done
	time.Sleep(faultTime) // lets the handlers finish that are still answering
	fx.close()
}

// After a reload names another discovery service, its changes count as notified 4 s later. The coordinator has to have
// them by then even if its first poll is never answered, is rejected, fails late or gets an unreadable answer, and
// wherever in the subscription to the old service the reload occurs.
func TestNotifiedInTimeAfterReload(t *testing.T) {
	for name, first := range map[string]http.HandlerFunc{
		"never answered": neverAnswers,
		"fails late":     unavailableAfter(1400 * time.Millisecond),
		"rejected":       unavailableAfter(0),
		"unreadable":     answersUnreadably,
	} {
		for seed := range uint64(20) {
			synctest.Test(t, func(t *testing.T) { runReload(t, name, first, seed) })
		}
	}
}

// runReload moves from one service to another, whose first poll is answered by first and whose later polls are
// answered late.
func runReload(t *testing.T, name string, first http.HandlerFunc, seed uint64) {
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
			time.Sleep(1400 * time.Millisecond) // discovery answers the polls of a fleet one after another
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
		t.Errorf("%s, seed %d: the drain arrived %v after the reload", name, seed, took)
	}
	fx.close()
	time.Sleep(2 * time.Second)
}
