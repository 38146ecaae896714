package scatter

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func TestJoiningReplicaAdoptsSiblingRatio(t *testing.T) {
	h := start(t, base(), names("a", "b")...)
	if got := h.m.replicas.byID["a"].latencyRatio * h.m.classes.list[0].meanLatency; math.Abs(got-0.4) > 1e-9 {
		t.Errorf("initial mean %.3f, want a fifth of the objective", got)
	}
	h.m.replicas.byID["a"].latencyRatio, h.m.replicas.byID["b"].latencyRatio = 0.5, 1
	h.step(0, EndpointUpdate{Kind: IncrementalUpdate, Replicas: names("c")})
	if got := h.m.replicas.byID["c"].latencyRatio; math.Abs(got-0.75) > 1e-9 {
		t.Errorf("ratio of the joining replica %.3f, want 0.75", got)
	}
}

// No part is sent to a replica from the step in which its drain or removal is known.
func TestNothingIsSentToDrainingReplica(t *testing.T) {
	for _, state := range []ReplicaState{Draining, Removed} {
		h := start(t, base(), names("a", "b")...)
		h.step(ms, EndpointUpdate{Kind: IncrementalUpdate, Replicas: []Replica{{ID: "a", State: state}}})
		for range 50 {
			for _, x := range of[Send](h.query("c", 0)) {
				if x.Replica == "a" {
					t.Fatalf("part sent to a replica in state %d", state)
				}
			}
		}
	}
	h := start(t, base(), names("a", "b")...)
	h.step(ms, EndpointUpdate{Kind: FullUpdate, Replicas: names("b")})
	if got := of[Send](h.query("c", 0))[0].Replica; got != "b" {
		t.Errorf("part sent to %s, which is not in the full list", got)
	}
}

// No part is sent to a draining replica even if every other holder is ejected, if the update arrives in the same step
// as queries, before or after them, or after a failed update.
func TestNothingIsSentToDrainingReplicaEvenIfOthersFail(t *testing.T) {
	for _, late := range []bool{false, true} {
		h := start(t, base(), names("a", "b")...)
		h.m.eject(h.m.replicas.byID["b"], nil)
		update := EndpointUpdate{Kind: IncrementalUpdate, Replicas: []Replica{{ID: "a", State: Draining}}}
		events := []Event{QueryArrived{ID: "q", Number: 9, Class: "c", Expires: h.now + 6*sec},
			PartArrived{ID: "p", Number: 9, Weight: 1}}
		if late {
			events = append(events, update)
		} else {
			events = append([]Event{update, EndpointUpdate{Kind: FailedUpdate}}, events...)
		}
		acts := h.step(ms, events...)
		for range 100 {
			for _, x := range of[Send](acts) {
				if x.Replica == "a" {
					t.Fatalf("part sent to a draining replica; update after the query: %v", late)
				}
			}
			acts = append(h.step(5*ms, EndpointUpdate{Kind: FailedUpdate}), h.query("c", 0)...)
		}
	}
}

func TestSubscriptionIsRenewedWithBackoff(t *testing.T) {
	s := base()
	s.Subscribe, s.ListMaxAge = true, 10*sec
	m, _ := New(1, s)
	now := sec
	if len(of[Subscribe](m.Step(now, []Event{EndpointUpdate{Kind: CachedUpdate, Replicas: names("a")}}))) != 1 {
		t.Fatal("no subscription at the start")
	}
	var gaps []time.Duration
	for range 4 {
		asked := now
		acts := m.Step(now, []Event{EndpointUpdate{Kind: FailedUpdate}})
		for len(of[Subscribe](acts)) == 0 {
			now += 5 * ms
			if now-asked > 10*sec {
				t.Fatal("no further subscription after a failure")
			}
			acts = m.Step(now, nil)
		}
		gaps = append(gaps, now-asked)
	}
	if gaps[0] < 250*ms || gaps[3] <= gaps[0] {
		t.Errorf("backoffs %v do not grow", gaps)
	}
	m.Step(now, []Event{EndpointUpdate{Kind: IncrementalUpdate}})
	for range 4000 {
		now += 5 * ms
		if len(of[Subscribe](m.Step(now, nil))) > 0 {
			t.Fatal("further subscription while subscribed")
		}
	}
}

// Removed replicas are forgotten, however many join over time, but one that returns within a minute keeps its state.
func TestRemovedReplicasAreForgotten(t *testing.T) {
	h := start(t, base(), names("a", "b")...)
	for i := range 100 {
		id := fmt.Sprint("n", i)
		h.step(sec, EndpointUpdate{Kind: IncrementalUpdate, Replicas: names(id)})
		sent := of[Send](h.query("c", 0))[0]
		h.step(ms, ended(sent.Part, 0, sent.Replica, Succeeded, ms))
		h.step(sec, EndpointUpdate{Kind: IncrementalUpdate, Replicas: []Replica{{ID: id, State: Removed}}})
	}
	if n := len(h.m.replicas.all); n > 2+31 || len(h.m.replicas.byID) != n || len(h.m.replicas.byID["a"].siblings) != n-1 {
		t.Errorf("%d replicas, %d by id, %d siblings", n, len(h.m.replicas.byID), len(h.m.replicas.byID["a"].siblings))
	}
	last := h.m.replicas.byID["n99"]
	h.step(30*sec, EndpointUpdate{Kind: IncrementalUpdate, Replicas: names("n99")})
	h.step(90 * sec)
	if h.m.replicas.byID["n99"] != last || len(h.m.replicas.all) != 3 {
		t.Errorf("%d replicas after a minute and a half, want 3 with the state of n99 kept", len(h.m.replicas.all))
	}
}

// A cached list may contain replicas that were removed long ago. A coordinator that has no other list still answers.
func TestAnswersFromAnOldCachedList(t *testing.T) {
	a, err := New(1, base())
	if err != nil {
		t.Fatal(err)
	}
	f := &replicaFleet{harness: &harness{t: t, m: a, now: 100 * sec},
		failures: map[string]Outcome{}, attempts: map[string]int{},
		service: map[string]time.Duration{"gone1": 250 * ms, "gone2": 250 * ms, "b": 100 * ms}}
	f.failures["gone1"], f.failures["gone2"] = ConnectFailed, ConnectFailed
	f.clear()
	f.step(0, EndpointUpdate{Kind: CachedUpdate, Replicas: names("gone1", "gone2", "b")})
	f.run(3*sec, 100*ms)
	f.clear()
	f.run(5*sec, 100*ms)
	if f.ends["answered"] < 48 || f.share("b") < 0.7 {
		t.Errorf("answers by kind %v, sends by replica %v", f.ends, f.sent)
	}
}
