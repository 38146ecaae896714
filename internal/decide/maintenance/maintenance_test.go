package maintenance

import (
	"maps"
	"slices"
	"testing"
	"time"

	"harepass/internal/decide/scatter"

	"pgregory.net/rapid"
)

// Two processes take calls, sources list what they like, books travel late, twice and in any order. A model keeps who
// was called last, by the moment of the call.
func TestBooksAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := rapid.SampledFrom([]string{"a", "b", "c"})
		books := []Register{{}, {}}
		var sent []Register // copies under way
		type word struct {
			out      bool
			at, from time.Duration
		}
		last := map[string]word{}
		now := time.Hour
		node := map[string]scatter.Replica{}
		t.Repeat(map[string]func(*rapid.T){
			"call": func(t *rapid.T) {
				now += time.Second
				id, out, who := ids.Draw(t, "id"), rapid.Bool().Draw(t, "out"), rapid.IntRange(0, 1).Draw(t, "process")
				books[who].Merge(books[1-who]) // as the register does before each call
				was := books[who][id].Out
				if changed := books[who].Apply(id, Entry{Out: out, At: now}); changed != (was != out) {
					t.Fatalf("%s out=%t after out=%t: changed=%t", id, out, was, changed)
				} else if changed {
					last[id] = word{out, now, last[id].at}
				}
			},
			"send": func(t *rapid.T) {
				sent = append(sent, maps.Clone(books[rapid.IntRange(0, 1).Draw(t, "process")]))
			},
			"arrive": func(t *rapid.T) {
				if len(sent) > 0 {
					books[rapid.IntRange(0, 1).Draw(t, "process")].Merge(sent[rapid.IntRange(0, len(sent)-1).Draw(t, "copy")])
				}
			},
			"list": func(t *rapid.T) {
				id := ids.Draw(t, "id")
				node[id] = scatter.Replica{ID: id, State: scatter.ReplicaState(rapid.IntRange(0, 2).Draw(t, "state")),
					StartedAt: time.Duration(rapid.IntRange(0, 5000).Draw(t, "since")) * time.Second}
			},
			"": func(t *rapid.T) {
				all := maps.Clone(books[0])
				all.Merge(books[1])
				other := maps.Clone(books[1])
				other.Merge(books[0])
				if !maps.Equal(all, other) {
					t.Fatalf("the order of merging counts: %v and %v", all, other)
				}
				if all.Merge(other) {
					t.Fatal("merged twice, a book changes")
				}
				for id, w := range last {
					if all[id].Out != w.out {
						t.Fatalf("%s: out=%t, the last call that changed anything said %t", id, all[id].Out, w.out)
					}
					r := all.Effective(node[id])
					switch {
					case r.ID != "" && w.out && r.State == scatter.Ready:
						t.Fatalf("%s is out and told as ready", id)
					case r.ID != "" && w.out && r.StartedAt != node[id].StartedAt, r.ID != "" && !w.out && r.State != node[id].State:
						t.Fatalf("%s: listed %v, told %v", id, node[id], r)
					case r.ID != "" && !w.out && node[id].StartedAt > w.from && r.StartedAt != node[id].StartedAt:
						t.Fatalf("%s was restarted at %v while out and is told to run since %v", id, node[id].StartedAt, r.StartedAt)
					case r.ID != "" && !w.out && node[id].StartedAt <= w.from && r.StartedAt != w.at:
						t.Fatalf("%s came back at %v and is told to run since %v", id, w.at, r.StartedAt)
					}
				}
			},
		})
	})
}

// A call of a process whose clock lags behind counts all the same, for it came later.
func TestLaggingClock(t *testing.T) {
	b := Register{}
	b.Apply("a", Entry{Out: true, At: 10 * time.Second})
	b.Apply("a", Entry{Out: false, At: 9 * time.Second})
	o := Register{"a": {Out: true, At: 10 * time.Second}}
	if o.Merge(b); o["a"].Out || len(o.Out()) != 0 {
		t.Errorf("still out: %v", o)
	}
}

func TestForget(t *testing.T) {
	b := Register{"back": {At: 4 * time.Second}, "out": {Out: true, At: time.Second}}
	if b.Prune(time.Minute); len(b) != 1 || len(b.Out()) != 1 {
		t.Errorf("kept %v", b)
	}
}

func TestBare(t *testing.T) {
	list := []scatter.Replica{{ID: "a", RingPosition: 0}, {ID: "b", RingPosition: 1}, {ID: "c", RingPosition: 2, State: scatter.Removed}}
	b := Register{}
	for _, tc := range []struct {
		out  string
		want []int
	}{{"", nil}, {"a", []int{2}}, {"b", []int{0, 1, 2}}} { // section s is held by cells s and s+1 of three
		if tc.out != "" {
			b.Apply(tc.out, Entry{Out: true, At: time.Second})
		}
		if got := b.UncoveredShards(list, 3, 2, 3); !slices.Equal(got, tc.want) {
			t.Errorf("%s out as well: %v", tc.out, got)
		}
	}
}
