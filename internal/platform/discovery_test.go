package platform

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/backoff"
	"harepass/internal/decide/scatter"
)

// subscriptionTest is a service that holds watches for 0.8 s and is unavailable or silent when the test sets this. Each
// answer has one endpoint, and the number of the poll plus 40 as its index.
type subscriptionTest struct {
	*testing.T
	*discoveryFixture
	polls               requestLog
	unavailable, silent atomic.Bool
}

func (p *subscriptionTest) answer(w http.ResponseWriter, r *http.Request) {
	index := 40 + p.polls.add(r.URL.RequestURI())
	if p.unavailable.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if p.silent.Load() {
		<-r.Context().Done()
		return
	}
	if isWatch(r) {
		time.Sleep(800 * time.Millisecond)
	}
	const body = `{"index":%d,"snapshot":%t,"endpoints":[{"name":"a","address":"a:1","group":1,"status":"in_service"}]}`
	fmt.Fprintf(w, body, index, !r.URL.Query().Has("from"))
}

// A subscription begins with the complete list and continues with watches, each of which begins as soon as the previous
// one is answered. When the service fails, each failed poll is reported once, and further polls for the changes follow.
// When the service falls silent, the watch counts as lost and a poll follows.
func TestSubscription(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &subscriptionTest{T: t, discoveryFixture: newDiscoveryFixture("d", List{})}
		p.serve("d", p.answer)
		p.start()
		time.Sleep(time.Second)
		synctest.Wait()
		if targets, _ := p.polls.all(); len(targets) > 0 {
			t.Error("Discovery polls without a subscription")
		}
		p.expectWatches()
		p.expectPollsAfterFailure()
		p.expectRecovery()
		p.expectPollAfterSilence()
		p.close()
	})
}

// expectWatches subscribes, and makes the service unavailable during the third watch, which is still answered.
func (p *subscriptionTest) expectWatches() {
	startedAt := time.Now()
	p.Subscribe()
	time.Sleep(2000 * time.Millisecond)
	synctest.Wait()
	p.Subscribe() // has no effect on an existing subscription
	p.unavailable.Store(true)
	time.Sleep(300 * time.Millisecond)
	synctest.Wait()
	targets, at := p.polls.all()
	want := []string{"/registry/instances", "/registry/instances?from=41&hold_ms=1000",
		"/registry/instances?from=42&hold_ms=1000", "/registry/instances?from=43&hold_ms=1000"}
	if !slices.Equal(targets, want) {
		p.Errorf("polls %v, want %v", targets, want)
	}
	updates := p.takeUpdates()
	if !slices.Equal(updates, []listUpdate{
		{scatter.FullUpdate, 1}, {scatter.IncrementalUpdate, 1}, {scatter.IncrementalUpdate, 1}}) {
		p.Errorf("updates %v, want one full and two incremental ones", updates)
	}
	if late := at[2].Sub(startedAt) - 800*time.Millisecond; late != 0 {
		p.Errorf("the watch was renewed %v after its answer, want at once", late)
	}
}

// expectPollsAfterFailure waits while the service is unavailable. The third watch is still answered. The fifth poll is
// the watch that gets the 503, and the polls after it ask for changes.
func (p *subscriptionTest) expectPollsAfterFailure() {
	time.Sleep(4 * time.Second)
	synctest.Wait()
	targets, _ := p.polls.all()
	failures := len(targets) - 5
	for _, target := range targets[5:] {
		if target != "/registry/instances?from=44&hold_ms=1" {
			p.Errorf("poll %s after the failed watch, want one for the changes since index 44", target)
		}
	}
	updates := p.takeUpdates()
	if failures < 2 || failures > 20 || len(updates) != 1+failures || updates[1] != failedPoll {
		p.Errorf("%d polls failed, updates %v", failures, updates)
	}
}

func (p *subscriptionTest) expectRecovery() {
	p.unavailable.Store(false)
	time.Sleep(time.Second)
	updates := p.takeUpdates()
	if len(updates) == 0 || updates[len(updates)-1] != (listUpdate{scatter.IncrementalUpdate, 1}) {
		p.Errorf("updates %v after discovery recovered, want an incremental one last", updates)
	}
}

// expectPollAfterSilence lets the open watch be answered, and the next one not.
func (p *subscriptionTest) expectPollAfterSilence() {
	p.silent.Store(true)
	time.Sleep(2*backoff.WatchHold + backoff.WatchSilence + backoff.CallTimeout/2)
	updates := p.takeUpdates()
	targets, _ := p.polls.all()
	if last := targets[len(targets)-1]; !strings.HasSuffix(last, "&hold_ms=1") || len(updates) > 1 {
		p.Errorf("poll %s after a silent watch, want one answered at once; updates %v, want at most one", last, updates)
	}
}

// After a reload names another address, the watch at the old one ends. The subscription begins at the new one at once,
// with the complete list, because the known index is that of another service. A new service that cannot be reached is
// reported like any other failure.
func TestSetAddressMovesSubscription(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newDiscoveryFixture("old", List{})
		var polls, ids []string
		var kinds []scatter.UpdateKind
		for _, name := range []string{"old", "new"} {
			fx.serve(name, func(w http.ResponseWriter, r *http.Request) {
				if polls = append(polls, name+r.URL.RequestURI()); r.URL.Query().Has("from") {
					<-r.Context().Done()
					return
				}
				fmt.Fprintf(w, `{"index":28,"snapshot":true,`+
					`"endpoints":[{"name":%q,"address":"a:1","status":"in_service"}]}`, name)
			})
		}
		fx.Listed = func(kind scatter.UpdateKind, endpoints []core.Endpoint) {
			kinds = append(kinds, kind)
			for _, e := range endpoints {
				ids = append(ids, e.ID)
			}
		}
		fx.start()
		fx.Subscribe()
		synctest.Wait()
		startedAt := time.Now()
		fx.SetAddress("nowhere") // Run may or may not receive it: the last address counts
		fx.SetAddress("new")
		synctest.Wait()
		if fx.Subscribe(); time.Since(startedAt) > 0 {
			t.Error("the subscription did not move to the new address at once")
		}
		want := []string{"old/registry/instances", "old/registry/instances?from=28&hold_ms=1000",
			"new/registry/instances", "new/registry/instances?from=28&hold_ms=1000"}
		if !slices.Equal(polls, want) || kinds[0] != scatter.FullUpdate || kinds[len(kinds)-1] != scatter.FullUpdate ||
			ids[0] != "old" || ids[len(ids)-1] != "new" {
			t.Errorf("polls %v; updates %v of %v, want the full list of old first and of new last", polls, kinds, ids)
		}
		kinds, ids = nil, nil
		fx.SetAddress("nowhere")
		synctest.Wait()
		if !slices.Equal(kinds, []scatter.UpdateKind{scatter.FailedUpdate}) || len(ids) > 0 {
			t.Errorf("updates %v of %v for an address without a service, want one failure", kinds, ids)
		}
		fx.close()
	})
}

// The body of a list may be larger than the limit on a client's request.
func TestListLargerThanRequestLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newDiscoveryFixture("d", List{})
		fx.serve("d", func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Query().Has("from") {
				<-r.Context().Done()
				return
			}
			io.WriteString(w, `{"snapshot":true,"endpoints":[`)
			for i := range 2000 {
				fmt.Fprintf(w, `{"name":"n%d","address":"a:1","status":"in_service"},`, i)
			}
			io.WriteString(w, `{"name":"last","address":"a:1","status":"in_service"}]}`)
		})
		fx.start()
		fx.Subscribe()
		updates := fx.takeUpdates()
		if len(updates) == 0 || updates[len(updates)-1].endpoints != 2001 {
			t.Errorf("updates %v, want 2001 endpoints", updates)
		}
		fx.close()
	})
}

// A fleet that starts, or loses discovery, at one instant polls and watches from the index that each coordinator has,
// which costs discovery little. Only an unusable answer is followed by a poll for the complete list, and nothing of
// such an answer is applied.
func TestWatchStartsFromKnownIndex(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newDiscoveryFixture("d", readyList())
		var polls []string
		answers := make(chan string, 8)
		answer := func(w http.ResponseWriter, r *http.Request) {
			polls = append(polls, r.URL.RequestURI())
			select {
			case a := <-answers:
				io.WriteString(w, a)
			case <-r.Context().Done():
			}
		}
		service := fx.serve("d", answer)
		fx.start()
		const complete = "/registry/instances"
		const oneEndpoint = `"endpoints":[{"name":"b","address":"b:1","status":"in_service"}]}`
		from := func(index int) string { return fmt.Sprintf("%s?from=%d&hold_ms=1000", complete, index) }
		awaitRetry := func() {
			time.Sleep(backoff.MaxSpread)
			synctest.Wait()
		}
		for _, c := range []struct {
			answer, next string
			update       listUpdate
		}{
			{`{"index":9,` + oneEndpoint, from(9), listUpdate{scatter.IncrementalUpdate, 1}},
			{`not even JSON`, complete, failedPoll},
			{`{"index":12,"snapshot":true,` + oneEndpoint, from(12), listUpdate{scatter.FullUpdate, 1}},
			{`{"index":11,` + oneEndpoint, complete, failedPoll}, // older than the known list
			{`{"index":3,"snapshot":true,` + oneEndpoint, from(3), listUpdate{scatter.FullUpdate, 1}},
			{`{"index":4,"endpoints":[{"name":"c","status":"confused"}]}`, complete, failedPoll},
		} {
			fx.Subscribe()
			synctest.Wait()
			if len(polls) == 1 && polls[0] != "/registry/instances?from=7&hold_ms=1" {
				t.Errorf("the first poll is %s, want one for the changes since index 7", polls[0])
			}
			fx.takeUpdates()
			answers <- c.answer
			updates := fx.takeUpdates()
			if c.update == failedPoll {
				awaitRetry()
			}
			if !slices.Equal(updates, []listUpdate{c.update}) || polls[len(polls)-1] != c.next {
				t.Errorf("answer %s: unexpected updates %v or next poll %s", c.answer, updates, polls[len(polls)-1])
			}
		}
		answers <- `{"index":5,"snapshot":true,` + oneEndpoint
		synctest.Wait()
		service.Close() // ends the subscription; the known index is that of a service that is about to be replaced
		awaitRetry()
		polls = nil
		fx.serve("elsewhere", answer)
		fx.SetAddress("elsewhere")
		synctest.Wait()
		if !slices.Equal(polls, []string{complete}) {
			t.Errorf("polls %v after a move between two subscriptions, want one for the complete list", polls)
		}
		fx.close()
	})
}

// Reloads name two services in turn, while answers of the previous service arrive. The copy for a process that takes
// over always holds the list of the service whose address it holds.
func TestCopyHasListOfItsAddressDuringReloads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newDiscoveryFixture("a", List{})
		for _, name := range []string{"a", "b"} {
			var index atomic.Int64
			fx.serve(name, func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(time.Millisecond)
				const list = `{"index":%d,"snapshot":true,"endpoints":[{"name":%q,"address":"a:1","status":"in_service"}]}`
				fmt.Fprintf(w, list, index.Add(1), name)
			})
		}
		var mixed atomic.Int32
		var stored *ListCopy
		stored = fx.KeepCopy(func() {
			address, list := stored.Snapshot()
			if len(list.Endpoints) != 1 || list.Endpoints[0].Name != address {
				mixed.Add(1)
			}
		})
		fx.start()
		fx.Subscribe()
		for i := range 300 {
			fx.SetAddress([]string{"b", "a"}[i%2])
			time.Sleep(3 * time.Millisecond) // the next address is set at the instant of an answer
			for range i % 7 {
				runtime.Gosched()
			}
		}
		if n := mixed.Load(); n > 0 {
			t.Errorf("%d copies had the list of another address, want none", n)
		}
		fx.cancel()
		<-fx.done
		time.Sleep(time.Second) // lets the handlers finish that are still answering
		fx.close()
	})
}
