package twophase

import (
	"testing"
	"time"
)

// A value is cached under a version. What a first-phase answer proves depends on how its version relates to that one.
func TestVerdicts(t *testing.T) {
	at7 := Version{Docs: 10, Max: 7, Min: 1, Sum: 40}
	for _, tc := range []struct {
		name string
		ev   Evidence
		want Verdict
	}{
		{"unchanged", versioned(at7, 3), Unchanged},
		{"unchanged, matches not counted", versioned(at7, -1), Unchanged},
		{"unchanged documents, another number of matches", versioned(at7, 4), Contradicted},
		{"changed", versioned(Version{10, 8, 1, 44}, 3), NeedsFull},
		{"a document deleted", versioned(Version{9, 7, 1, 37}, 3), NeedsFull},
		{"lagging replica", versioned(Version{10, 6, 1, 39}, 3), Inconclusive},
		{"a deletion that the replica has not applied", versioned(Version{11, 7, 1, 43}, 3), Inconclusive},
		{"the newest document deleted, or lagging replica", versioned(Version{9, 6, 1, 33}, 3), Inconclusive},
		{"a version assigned twice", versioned(Version{10, 7, 1, 41}, 3), Inconclusive},
		{"no match", versioned(at7, 0), Empty},
		{"no match, lagging replica", versioned(Version{10, 6, 1, 39}, 0), Inconclusive},
		{"unreadable", Evidence{}, Inconclusive},
		{"no versions after an answer with versions", Evidence{Readable: true, Matches: 3}, Inconclusive},
		{"no versions, no match", Evidence{Readable: true, Matches: 0}, Inconclusive},
	} {
		p := New(1 << 20)
		p.ObserveFullWithVersion(testTopic, 4, "q", versioned(at7, 3), []byte("value"), 0)
		v, value := p.ObserveFirstPhase(testTopic, 4, "q", tc.ev, true, time.Second)
		if v != tc.want || (v == Unchanged) != (string(value) == "value") {
			t.Errorf("%s: verdict %v with value %q, want %v", tc.name, v, value, tc.want)
		}
		// The cached value is valid only for its own body, shard and index.
		for _, k := range []struct {
			topic Topic
			shard int
			body  string
		}{{testTopic, 4, "other"}, {testTopic, 5, "q"}, {Topic{"trails", "summary"}, 4, "q"}} {
			if v, _ := p.ObserveFirstPhase(k.topic, k.shard, k.body, tc.ev, true, time.Second); v == Unchanged {
				t.Errorf("%s: verdict Unchanged for %+v, which has no cached value", tc.name, k)
			}
		}
	}
	// If no version was ever seen, an answer without matches proves Empty: the replica's full answer would be the same.
	if v, _ := New(1<<20).ObserveFirstPhase(testTopic, 4, "q", Evidence{Readable: true}, true, 0); v != Empty {
		t.Errorf("no match, and no version ever seen: verdict %v, want empty", v)
	}
}

// A shard's newest document is deleted at all replicas, so no replica shows its newest version any longer. All replicas
// then appear to lag behind, and their answers prove nothing and are not cached. That ends after newestTrust, when the
// planner drops the newest version.
func TestUnconfirmedVersionIsGivenUp(t *testing.T) {
	p, newest, older := New(1<<20), Version{9, 8, 1, 40}, Version{8, 7, 1, 32}
	p.ObserveFullWithVersion(testTopic, 0, "q", versioned(newest, 2), []byte("new"), 0)
	for _, tc := range []struct {
		at   time.Duration
		want Verdict
	}{{newestTrust - 1, Inconclusive}, {newestTrust, Unchanged}, {newestTrust + 1, Unchanged}} {
		p.ObserveFullWithVersion(testTopic, 0, "q", versioned(older, 2), []byte("old"), tc.at)
		v, value := p.ObserveFirstPhase(testTopic, 0, "q", versioned(older, 2), true, tc.at)
		if v != tc.want || v == Unchanged && string(value) != "old" {
			t.Errorf("after %v: verdict %v with value %q, want %v", tc.at, v, value, tc.want)
		}
	}
	if v, _ := p.ObserveFirstPhase(testTopic, 0, "q", versioned(newest, 2), true, 2*newestTrust); v != NeedsFull {
		t.Errorf("newer state shown again: verdict %v, want needs full because its value is no longer cached", v)
	}
}
