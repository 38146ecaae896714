package scatter

import (
	"fmt"
	"testing"
	"time"
)

// A query gets one final answer before its client's time is over, and no part is sent after it.
func TestQueryEndsInTimeWhenNothingAnswers(t *testing.T) {
	for _, list := range [][]Replica{nil, names("a", "b")} {
		h := start(t, base(), list...)
		acts := h.query("c", 0)
		until := h.now + 6*sec
		finals := 0
		for h.now < until {
			n := len(of[Reject](acts)) + len(of[Fail](acts)) + len(of[Answer](acts))
			if finals > 0 && len(of[Send](acts)) > 0 {
				t.Error("part sent after the final answer")
			}
			finals += n
			acts = h.step(5*ms, TimerFired{})
		}
		if finals != 1 {
			t.Errorf("%d replicas: %d final answers before the client's time was over, want 1", len(list), finals)
		}
	}
}

// A query whose time is over on arrival, or nearly over, ends in that step, and no part is sent.
func TestExpiredQueryEndsAtOnce(t *testing.T) {
	for _, left := range []time.Duration{-sec, 0, 5 * ms} {
		h := start(t, base(), names("a")...)
		acts := h.step(0, QueryArrived{ID: "q", Number: 9, Class: "c", Expires: h.now + left},
			PartArrived{ID: "p", Number: 9, Weight: 1})
		if len(of[Reject](acts)) != 1 || len(of[Send](acts)) != 0 {
			t.Errorf("%v left: got %v, want one rejection and no send", left, acts)
		}
		acts = h.step(5*ms, QueryCancelled{ID: "q"})
		if len(acts) != 0 && (len(of[Reject](acts)) > 0 || len(of[Send](acts)) > 0) {
			t.Errorf("%v left, after the cancellation: %v", left, acts)
		}
	}
	h := start(t, base(), names("a")...) // the part is served in the step in which the client's time ends
	x := of[Send](h.query("c", 0))[0]
	acts := h.step(6*sec, ended(x.Part, 0, "a", Succeeded, 6*sec), TimerFired{})
	if n := len(of[Answer](acts)) + len(of[Reject](acts)) + len(of[Fail](acts)); n != 1 {
		t.Errorf("%d final answers, want 1: %v", n, acts)
	}
}

// An answer is complete from the complete fraction on, and there is none below the minimum fraction.
func TestAnswerSaysWhetherItIsComplete(t *testing.T) {
	for _, tc := range []struct {
		name                          string
		completeFraction, minFraction float64
		served                        int
		answer                        bool
		complete                      bool
	}{
		{"all needed, one missing", 1, 1, 3, false, false},
		{"all needed, all in", 1, 1, 4, true, true},
		{"three quarters needed, all of them in", .75, .75, 3, true, true},
		{"below the complete fraction, at the minimum", 1, .5, 2, true, false},
		{"below the minimum", 1, .5, 1, false, false},
	} {
		s := base()
		s.Classes[0].CompleteFraction, s.Classes[0].MinFraction = tc.completeFraction, tc.minFraction
		s.Classes[0].LateWeight = 0
		h := start(t, s, names("a", "b")...)
		h.m.hedges.tokens = 0
		all := h.query("c", 0, 1, 2, 3)
		for i, x := range of[Send](all) {
			if i < tc.served {
				all = append(all, h.step(ms, ended(x.Part, 0, x.Replica, Succeeded, 10*ms))...)
			}
		}
		for range 500 {
			all = append(all, h.step(5*ms, TimerFired{})...)
		}
		ans := of[Answer](all)
		if got := len(ans) == 1; got != tc.answer || got && ans[0].Complete != tc.complete {
			t.Errorf("%s: got answers %v", tc.name, ans)
		}
	}
}

func TestSecondRound(t *testing.T) {
	s := base()
	s.Classes[0].SecondRoundParts = 1
	h := start(t, s, names("a")...)
	x := of[Send](h.query("c", 0))[0]
	acts := h.step(ms, ended(x.Part, 0, "a", Succeeded, ms))
	if a := of[Answer](acts); len(a) != 1 || !a[0].Complete {
		t.Fatalf("first round: got %v, want one complete answer", acts)
	}
	acts = h.step(5*ms, PartArrived{ID: "second", Number: 1, Shard: 0, Weight: 1})
	y := of[Send](acts)
	if len(y) != 1 {
		t.Fatalf("second round: got %v, want one send", acts)
	}
	acts = h.step(ms, ended("second", 0, "a", Succeeded, ms))
	if a := of[Answer](acts); len(a) != 1 || !a[0].Complete {
		t.Fatalf("second round: got %v, want one complete answer", acts)
	}
}

// A client that requires a complete answer gets no partial one, while another client does.
func TestRequireComplete(t *testing.T) {
	for _, whole := range []bool{false, true} {
		s := base()
		s.Classes[0].MinFraction = 0.7
		h := start(t, s, names("r1", "r2")...)
		h.step(0, QueryArrived{ID: "q", Number: 1, Class: "c", Parts: 2, Expires: h.now + 6*sec, RequireComplete: whole},
			PartArrived{ID: "p0", Number: 1, Shard: 0, Weight: 0.8}, PartArrived{ID: "p1", Number: 1, Shard: 1, Weight: 0.2})
		h.step(100*ms, ended("p0", 0, "r1", Succeeded, 100*ms), ended("p0", 0, "r2", Succeeded, 100*ms))
		var answers []Answer
		for range 500 { // until after the client's time
			answers = append(answers, of[Answer](h.step(20*ms))...)
		}
		if got := len(answers) == 1 && !answers[0].Complete; got == whole {
			t.Errorf("complete answer required: %v: got answers %v", whole, answers)
		}
	}
}

// Weights arrive rounded, and 48 weights of 0.020833 miss 1 by more than weightSlack: each summary over 48 shards was
// answered as partial with all of its parts served. With all parts served a query is complete, and the minimum takes as
// many parts as with exact weights. A sum that is further off is no rounding error.
func TestRoundedWeights(t *testing.T) {
	for _, tc := range []struct {
		parts, in int
		weight    float64
		want      string
	}{{48, 48, 0.020833, "[true]"}, {120, 120, 0.008333, "[true]"}, {7, 7, 0.142857, "[true]"}, {3, 3, 0.333334, "[true]"},
		{10, 7, 0.1, "[false]"}, {48, 34, 0.020833, "[false]"}, {48, 33, 0.020833, "[]"},
		{5, 5, 0.1999, "[true]"}, {7, 7, 0.143, "[true]"}, {5, 5, 0.1997, "[false]"}} {
		s := base()
		s.Classes[0].MinFraction = 0.7
		h := start(t, s, names("r1", "r2")...)
		events := []Event{QueryArrived{ID: "q", Number: 1, Class: "c", Parts: tc.parts, Expires: h.now + 6*sec}}
		for i := range tc.parts {
			events = append(events, PartArrived{ID: fmt.Sprint("p", i), Number: 1, Shard: i, Weight: tc.weight})
		}
		var answers []bool
		note := func(acts []Action) {
			for _, act := range acts {
				if a, ok := act.(Answer); ok {
					answers = append(answers, a.Complete)
				}
			}
		}
		acts := h.m.Step(h.now, events)
		note(acts)
		served := 0
		var ends []Event
		for _, act := range acts {
			if send, ok := act.(Send); ok && served < tc.in {
				served++
				ends = append(ends, AttemptEnded{Part: send.Part, Replica: send.Replica, Latency: 10 * ms})
			}
		}
		note(h.m.Step(h.now+10*ms, ends))
		for range 400 {
			h.now += 20 * ms
			note(h.m.Step(h.now, nil))
		}
		if got := fmt.Sprint(answers); got != tc.want {
			t.Errorf("%d of %d parts of weight %v: answers %s, want %s", tc.in, tc.parts, tc.weight, got, tc.want)
		}
	}
}

// A part that can no longer be served is replaced at once by one that had not been selected.
func TestLostPartIsReplaced(t *testing.T) {
	s := base()
	s.Classes[0].CompleteFraction, s.MaxAttempts = 0.75, 1
	h := start(t, s, names("a", "b")...)
	sends := of[Send](h.query("c", 0, 1, 2, 3))
	more := of[Send](h.step(ms, ended(sends[0].Part, 0, sends[0].Replica, Errored, ms)))
	if len(more) != 1 || more[0].Part == sends[0].Part {
		t.Errorf("after the lost part got %v, want the other part", more)
	}
}

// A first round that allows a partial answer leaves its second round the time of a slow part.
func TestFirstRoundLeavesTimeForTheSecond(t *testing.T) {
	s := base()
	s.Classes[0].MinFraction, s.Classes[0].SecondRoundParts, s.Classes[0].LateWeight = 0.4, 1, 0
	f := newReplicaFleet(t, s, "a", "b")
	acts := f.query("c", 0, 0)
	sent := of[Send](acts)
	f.step(100*ms, ended(sent[0].Part, 0, sent[0].Replica, Succeeded, 100*ms))
	asked := f.now
	for len(of[Answer](acts)) == 0 && f.now < asked+2*sec {
		acts = f.step(5*ms, TimerFired{})
	}
	if left := asked + 1900*ms - f.now; left < scale(s.Classes[0].LatencyObjective, minOverdue)-10*ms {
		t.Fatalf("the first round's answer leaves only %v before the objective", left)
	}
	acts = f.step(5*ms, PartArrived{ID: "next", Number: f.n, Weight: 1})
	if len(of[Send](acts)) != 1 {
		t.Fatalf("second round: got %v, want one send", acts)
	}
	acts = f.step(200*ms, ended("next", 0, of[Send](acts)[0].Replica, Succeeded, 200*ms))
	if got := of[Answer](acts); len(got) != 1 || got[0].Complete {
		t.Errorf("second round: got %v, want one partial answer", acts)
	}
}

// The client's time includes the answer's way to it: a partial answer is sent some ticks before the objective.
func TestPartialAnswerLeavesTimeForItsWay(t *testing.T) {
	s := base()
	s.Classes[0].MinFraction = 0.5
	h := start(t, s, names("a", "b")...)
	h.m.hedges.tokens = 0
	acts := h.query("c", 0, 0)
	asked := h.now
	acts = h.step(5*ms, ended(of[Send](acts)[0].Part, 0, of[Send](acts)[0].Replica, Succeeded, 5*ms))
	for len(of[Answer](acts)) == 0 && h.now < asked+3*sec {
		acts = h.step(5*ms, TimerFired{})
	}
	if got := h.now - asked; got > 2*sec-15*ms || got < 1900*ms {
		t.Errorf("partial answer after %v, want 1.9 s to 1.985 s", got)
	}
}
