package scatter

import (
	"testing"
)

// Deferred parts are not sent in any way before they are released. A part released as resolved counts as served.
func TestDeferredParts(t *testing.T) {
	s := base()
	s.Classes[0].MinFraction = 0.7
	h := start(t, s, names("r1", "r2")...)
	h.n++
	acts := h.step(0, QueryArrived{ID: "q1", Number: 1, Class: "c", Parts: 4, Expires: h.now + 6*sec},
		PartArrived{ID: "q1.0", Number: 1, Weight: 0.25}, PartArrived{ID: "q1.1", Number: 1, Weight: 0.25, Deferred: true},
		PartArrived{ID: "q1.2", Number: 1, Weight: 0.25, Deferred: true},
		PartArrived{ID: "q1.3", Number: 1, Weight: 0.25, Deferred: true})
	if sends := of[Send](acts); len(sends) != 1 || sends[0].Part != "q1.0" {
		t.Fatalf("got %v, want only the part that is not deferred", acts)
	}
	for range 100 { // the part becomes overdue, and no deferred one is sent for it
		for _, x := range of[Send](h.step(10 * ms)) {
			if x.Part != "q1.0" {
				t.Fatalf("deferred part %s was sent", x.Part)
			}
		}
	}
	acts = h.step(0, PartReleased{ID: "q1.1", Resolved: true}, PartReleased{ID: "q1.2"})
	if sends := of[Send](acts); len(sends) != 1 || sends[0].Part != "q1.2" || len(of[Answer](acts)) > 0 {
		t.Fatalf("got %v, want the released part", acts)
	}
	// An outstanding part that is released as resolved is cancelled, and its late outcome changes nothing.
	acts = h.step(0, PartReleased{ID: "q1.2", Resolved: true}, PartReleased{ID: "q1.2", Resolved: true},
		PartReleased{ID: "q9.9", Resolved: true})
	if cancels := of[CancelAttempt](acts); len(cancels) != 1 || cancels[0].Part != "q1.2" || len(of[Answer](acts)) > 0 {
		t.Fatalf("got %v, want one cancellation and no answer from half of the weight", acts)
	}
	acts = h.step(0, ended("q1.2", 0, "r1", Succeeded, 5*ms), PartReleased{ID: "q1.3", Resolved: true})
	if len(of[Answer](acts)) > 0 {
		t.Fatalf("got %v, want no answer from three quarters of the weight", acts)
	}
	acts = h.step(0, PartReleased{ID: "q1.0", Resolved: true})
	if ans := of[Answer](acts); len(ans) != 1 || !ans[0].Complete {
		t.Fatalf("got %v, want one complete answer", acts)
	}
}

// Parts that stay deferred to the end count as missing: the minimum fraction applies, and the answer is not late.
func TestDeferredToTheEnd(t *testing.T) {
	for _, in := range []float64{0.6, 0.8} {
		s := base()
		s.Classes[0].MinFraction = 0.7
		h := start(t, s, names("r1", "r2")...)
		h.step(0, QueryArrived{ID: "q1", Number: 1, Class: "c", Parts: 2, Expires: h.now + sec},
			PartArrived{ID: "q1.0", Number: 1, Weight: in, Deferred: true},
			PartArrived{ID: "q1.1", Number: 1, Weight: 1 - in, Deferred: true})
		h.step(0, PartReleased{ID: "q1.0", Resolved: true})
		answers, rejections := 0, 0
		for range 200 {
			acts := h.step(5 * ms)
			answers += len(of[Answer](acts))
			rejections += len(of[Reject](acts))
		}
		if answers+rejections != 1 || (answers == 1) != (in > 0.7) {
			t.Errorf("weight %g resolved: %d answers and %d rejections", in, answers, rejections)
		}
	}
}
