package twophase

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

var topic1 = Topic{"conditions", "summary"}

// rig plays queries of n sections against a planner. truth tells, for a section, its version and its number of hits.
type rig struct {
	*Planner
	now         time.Duration
	n           int
	first, full float64 // work done, in full parts; a version with a full answer costs as much as a first one
	truth       func(no int) (Version, int64)
}

const cost = 0.1 // of a first answer

func signed(v Version, matches int64) Evidence {
	return Evidence{Readable: true, Matches: matches, Versioned: true, Version: v}
}

func version(n int) Version {
	return Version{Docs: 10, Max: float64(100 + n), Min: 1, Sum: float64(500 + n)}
}

func (r *rig) ask(text string) (pruned int) {
	r.now += time.Second
	a := Request{Topic: topic1, Body: text, Now: r.now, Objective: r.now + 1500*ms}
	for no := range r.n {
		a.Shards = append(a.Shards, no)
	}
	for i, step := range r.Plan(a).Modes {
		v, hits := r.truth(i)
		sign := step == FullWithVersion
		if step == FirstPhase {
			r.first += cost
			r.ObserveLatency(topic1, i, true, 2*ms)
			verdict, _ := r.ObserveFirstPhase(topic1, i, text, signed(v, hits), true, r.now)
			if verdict.Proves() {
				pruned++
				continue
			}
			sign = r.WantsVersion(topic1, i)
		}
		r.FullSent(topic1)
		r.ObserveLatency(topic1, i, false, 20*ms)
		r.full++
		if sign {
			r.first += cost
			r.ObserveFull(topic1, i, text, signed(v, hits), fmt.Appendf(nil, "%s %d %v", text, i, v), r.now)
		}
	}
	return pruned
}

// On a quiet morning nearly all is pruned, on one on which all changes hardly anything is spent, and when the
// mornings change the planner notices, either way.
func TestMornings(t *testing.T) {
	change := 0
	quiet := func(int) (Version, int64) { return version(0), 3 }
	all := func(int) (Version, int64) { change++; return version(change), 3 }
	r := &rig{Planner: New(1 << 20), n: 12, truth: all}
	play := func(queries int) (work float64) {
		r.first, r.full = 0, 0
		for i := range queries {
			r.ask(fmt.Sprint("text ", i%3))
		}
		return (r.first + r.full) / float64(queries*r.n)
	}
	if work := play(300); work > 1.05 || r.first == 0 {
		t.Errorf("all changed: %.3f of the work of one phase, want at most 1.05, and some of it tries", work)
	}
	r.truth = quiet
	play(100) // learns
	if work := play(100); work > 0.2 {
		t.Errorf("quiet after busy: %.3f, want at most 0.2", work)
	}
	r.truth = all
	if work := play(300); work > 1.05 {
		t.Errorf("busy after quiet: %.3f, want at most 1.05", work)
	}
	half := func(no int) (Version, int64) {
		if no%2 == 0 {
			return all(no)
		}
		return quiet(no)
	}
	r.truth = half
	play(100)
	if work := play(100); work > 0.65 || work < 0.5 {
		t.Errorf("half changed: %.3f, want about 0.55: sections are judged each by itself", work)
	}
	r.truth = func(int) (Version, int64) { return Version{}, 0 }
	play(300)
	if work := play(100); work > 0.2 {
		t.Errorf("nothing matches: %.3f, want at most 0.2", work)
	}
}

func TestVerdicts(t *testing.T) {
	at7 := Version{Docs: 10, Max: 7, Min: 1, Sum: 40}
	for _, tc := range []struct {
		name string
		ev   Evidence
		want Verdict
	}{
		{"unchanged", signed(at7, 3), Unchanged},
		{"changed", signed(Version{10, 8, 1, 44}, 3), NeedsFull},
		{"a document deleted", signed(Version{9, 7, 1, 37}, 3), NeedsFull},
		{"behind", signed(Version{10, 6, 1, 39}, 3), Inconclusive},
		{"a deletion not yet seen there", signed(Version{11, 7, 1, 43}, 3), Inconclusive},
		{"the newest document deleted, or behind", signed(Version{9, 6, 1, 33}, 3), Inconclusive},
		{"versions given twice", signed(Version{10, 7, 1, 41}, 3), Inconclusive},
		{"no hit", signed(at7, 0), Empty},
		{"no hit, behind", signed(Version{10, 6, 1, 39}, 0), Inconclusive},
		{"not read", Evidence{}, Inconclusive},
		{"without versions where there were some", Evidence{Readable: true, Matches: 3}, Inconclusive},
		{"without versions, no hit", Evidence{Readable: true, Matches: 0}, Inconclusive},
	} {
		p := New(1 << 20)
		p.ObserveFull(topic1, 4, "q", signed(at7, 3), []byte("value"), 0)
		if v, value := p.ObserveFirstPhase(topic1, 4, "q", tc.ev, true, time.Second); v != tc.want || (v == Unchanged) != (string(value) == "value") {
			t.Errorf("%s: %v %q, want %v", tc.name, v, value, tc.want)
		}
		// What is retained stands for its own text, section and index only.
		for _, k := range []struct {
			topic Topic
			no    int
			text  string
		}{{topic1, 4, "other"}, {topic1, 5, "q"}, {Topic{"trails", "summary"}, 4, "q"}} {
			if v, _ := p.ObserveFirstPhase(k.topic, k.no, k.text, tc.ev, true, time.Second); v == Unchanged {
				t.Errorf("%s: unchanged for %+v, of which nothing is retained", tc.name, k)
			}
		}
	}
	// Where no version was ever seen, no hit is proof enough: a full answer of that replica would say the same.
	if v, _ := New(1<<20).ObserveFirstPhase(topic1, 4, "q", Evidence{Readable: true}, true, 0); v != Empty {
		t.Errorf("no hit without versions: %v", v)
	}
}

// A state that nobody confirms for markLife is given up: its newest document was deleted everywhere. Before
// that, answers of replicas behind it neither prove nor are retained.
func TestMarkFades(t *testing.T) {
	p, new, old := New(1<<20), Version{9, 8, 1, 40}, Version{8, 7, 1, 32}
	p.ObserveFull(topic1, 0, "q", signed(new, 2), []byte("new"), 0)
	for _, tc := range []struct {
		at   time.Duration
		want Verdict
	}{{markLife - 1, Inconclusive}, {markLife, Unchanged}, {markLife + 1, Unchanged}} {
		p.ObserveFull(topic1, 0, "q", signed(old, 2), []byte("old"), tc.at)
		if v, value := p.ObserveFirstPhase(topic1, 0, "q", signed(old, 2), true, tc.at); v != tc.want || v == Unchanged && string(value) != "old" {
			t.Errorf("after %v: %v %q, want %v", tc.at, v, value, tc.want)
		}
	}
	if v, _ := p.ObserveFirstPhase(topic1, 0, "q", signed(new, 2), true, 2*markLife); v != NeedsFull {
		t.Errorf("the newer state again: %v, its value is no longer at hand", v)
	}
}

// The time is divided by what has been seen: a section is held for no longer than leaves a slow full answer its time.
func TestHold(t *testing.T) {
	p := New(1 << 20)
	plan := func(left time.Duration) Plan {
		return p.Plan(Request{Topic: topic1, Body: "q", Shards: []int{0, 1}, Now: time.Second, Objective: time.Second + left})
	}
	if got := plan(1600 * ms); got.MaxDeferral != 200*ms || got.Modes[0] != FirstPhase {
		t.Errorf("nothing seen yet: %+v, want a quarter of half of the time", got)
	}
	for range 64 {
		p.ObserveLatency(topic1, 0, true, 10*ms)
		p.ObserveLatency(topic1, 0, false, 100*ms)
	}
	for no := range 2 {
		p.ObserveFull(topic1, no, "q", signed(version(0), 1), []byte("v"), time.Second)
	}
	for _, tc := range []struct{ left, hold time.Duration }{
		{1500 * ms, 20 * ms}, {115 * ms, 15 * ms}, {110 * ms, 10 * ms}, {110*ms - 1, 0}, {50 * ms, 0}, {-ms, 0},
	} {
		got := plan(tc.left)
		if got.MaxDeferral != tc.hold || (got.Modes[0] == FirstPhase) != (tc.hold > 0) {
			t.Errorf("%v left: %+v, want a hold of %v", tc.left, got, tc.hold)
		}
	}
	if got := p.Plan(Request{Topic: topic1, Body: "q", Shards: []int{0, 1}, Capable: func(no int) bool { return no == 1 },
		Now: time.Second, Objective: 3 * time.Second}); got.Modes[0] != Full || got.Modes[1] != FirstPhase {
		t.Errorf("%+v, want the section with holders of another kind asked in full", got)
	}
}

// A first phase that is over too late has saved nothing, whatever it proves: such sections stop being asked twice.
func TestLateFirstPhase(t *testing.T) {
	r := &rig{Planner: New(1 << 20), n: 1}
	r.ObserveFull(topic1, 0, "q", signed(version(0), 1), []byte("v"), 0)
	firsts := 0
	for i := range 200 {
		at := time.Duration(i) * time.Second
		if r.Plan(Request{Topic: topic1, Body: "q", Shards: []int{0}, Now: at, Objective: at + time.Second}).Modes[0] == FirstPhase {
			firsts++
			r.ObserveFirstPhase(topic1, 0, "q", signed(version(0), 1), false, at)
		}
		r.FullSent(topic1)
	}
	if firsts > 60 {
		t.Errorf("%d first phases of 200 that never helped", firsts)
	}
}

// The bytes retained never pass the limit; what was used last stays.
func TestLimit(t *testing.T) {
	value := []byte(strings.Repeat("x", 1000))
	size := entryCost + len("t0") + len(value)
	p := New(10 * size)
	for i := range 11 {
		p.ObserveFull(topic1, 0, fmt.Sprint("t", i%10), signed(version(0), 1), value, 0)
		if i == 9 {
			if n, bytes := p.Cached(); n != 10 || bytes != 10*size {
				t.Errorf("%d values, %d bytes: what just fits is kept", n, bytes)
			}
			p.ObserveFirstPhase(topic1, 0, "t0", signed(version(0), 1), true, 0) // used
			p.ObserveFull(topic1, 0, "tt", signed(version(0), 1), value, 0)
		}
	}
	kept := func(text string) bool {
		v, _ := p.ObserveFirstPhase(topic1, 0, text, signed(version(0), 1), true, 0)
		return v == Unchanged
	}
	if !kept("t0") || kept("t1") || !kept("tt") {
		t.Errorf("t0 %t, t1 %t, tt %t: want the least used gone", kept("t0"), kept("t1"), kept("tt"))
	}
	p.ObserveFull(topic1, 0, "huge", signed(version(0), 1), []byte(strings.Repeat("x", 2*size)), 0)
	if kept("huge") {
		t.Error("a value over an eighth of the limit is kept")
	}
	if v, _ := New(0).ObserveFirstPhase(topic1, 0, "q", signed(version(0), 1), true, 0); v != NeedsFull {
		t.Errorf("without room: %v", v)
	}
}

// Whatever comes: the books add up, the limit holds, and an unchanged verdict gives the value that was stored last for
// just this text and section under just this version.
func TestStoreModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 20000).Draw(t, "limit")
		p, now := New(limit), time.Duration(0)
		type key struct {
			no   int
			text string
			v    Version
		}
		stored := map[key]string{}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "seconds")) * time.Second
			no, text := rapid.IntRange(0, 2).Draw(t, "no"), rapid.SampledFrom([]string{"a", "b", "ab"}).Draw(t, "text")
			n := float64(rapid.IntRange(1, 4).Draw(t, "version"))
			v := Version{int64(rapid.IntRange(1, 3).Draw(t, "docs")), n, 1, n}
			ev := signed(v, int64(rapid.IntRange(0, 2).Draw(t, "matches")))
			ev.Readable, ev.Versioned = rapid.IntRange(0, 9).Draw(t, "read") > 0, rapid.IntRange(0, 9).Draw(t, "signed") > 0
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				p.Plan(Request{Topic: topic1, Body: text, Shards: []int{0, 1, 2}, Now: now, Objective: now + time.Second})
			case 1:
				value := strings.Repeat(fmt.Sprint(i), rapid.IntRange(1, 900).Draw(t, "size"))
				p.ObserveFull(topic1, no, text, ev, []byte(value), now)
				if ev.Readable && ev.Versioned {
					stored[key{no, text, v}] = value
				}
			case 2:
				verdict, value := p.ObserveFirstPhase(topic1, no, text, ev, true, now)
				if verdict == Unchanged && (!ev.Readable || !ev.Versioned || stored[key{no, text, v}] != string(value)) {
					t.Fatalf("unchanged with %.20q, stored %.20q", value, stored[key{no, text, v}])
				}
				if verdict == Empty && (!ev.Readable || ev.Matches != 0) {
					t.Fatalf("empty on %+v", ev)
				}
			}
			bytes, values := 0, 0
			for _, s := range p.store.sections {
				for _, e := range s.entries {
					if bytes += e.size(); e.data != nil {
						values++
					}
				}
			}
			if n, b := p.Cached(); n != values || b != bytes || b > limit || p.store.used.Len() < values {
				t.Fatalf("%d values of %d bytes in the books, %d of %d there, limit %d", n, b, values, bytes, limit)
			}
		}
	})
}
