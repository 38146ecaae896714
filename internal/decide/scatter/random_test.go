package scatter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

// randomTraffic runs random but legal events against one machine and holds the rules as invariants.
func randomTraffic(t *testing.T, seed uint64, steps int, s Settings) (log []Action) {
	rng := rand.New(rand.NewPCG(seed, 9))
	m, err := New(seed, s)
	if err != nil {
		t.Fatal(err)
	}
	type flying struct {
		Send
		no   int
		sent time.Duration
	}
	ids := []string{"a", "b", "c", "d", "e", "f"}
	state := map[string]ReplicaState{}
	var out []flying
	attempts, served := map[string]int{}, map[string]bool{}
	partQuery, weight := map[string]string{}, map[string]float64{}
	live, ends := map[string]time.Duration{}, map[string]int{}
	type tried struct {
		sent  time.Duration
		never bool // proven not to have run
	}
	runs := map[string][]*tried{}
	repeat := s.Classes[0].Idempotency
	var extras, taken []time.Duration
	first := map[string]bool{} // queries at their second round: whether the first one's answer was whole
	now, n := 50*sec, int64(0)
	list := EndpointUpdate{Kind: CachedUpdate}
	for i, id := range ids {
		list.Replicas = append(list.Replicas, Replica{ID: id, RingPosition: i % s.RingSize})
	}
	events := []Event{list}
	number := map[string]int64{}
	for range steps {
		var next []Event
		acts := m.Step(now, events)
		log = append(log, acts...)
		for _, act := range acts {
			switch x := act.(type) {
			case Send:
				q := partQuery[x.Part]
				if _, ok := live[q]; !ok {
					t.Fatalf("sent %s after the end of %s", x.Part, q)
				}
				if state[x.Replica] != Ready {
					t.Fatalf("sent to %s in state %d", x.Replica, state[x.Replica])
				}
				if !s.Hedging && slices.ContainsFunc(out, func(f flying) bool { return f.Part == x.Part }) {
					t.Fatalf("two attempts of %s are out", x.Part)
				}
				if b := s.RetryBudget; b != nil && attempts[x.Part] > 0 {
					extras = append(extras, now)
					used, took := 0, 0
					for _, at := range extras {
						used += int(toInt(now-at <= b.Window))
					}
					for _, at := range taken {
						took += int(toInt(now-at < b.Window))
					}
					if float64(used) > float64(b.MinRetries)+b.Ratio*float64(took) {
						t.Fatalf("%d further attempts for %d queries and parts taken", used, took)
					}
				}
				for _, r := range runs[x.Part] {
					if !r.never && (repeat == NonIdempotent || repeat == Keyed && now-r.sent > s.Classes[0].DedupWindow) {
						t.Fatalf("%s sent again, though it may have run", x.Part)
					}
				}
				runs[x.Part] = append(runs[x.Part], &tried{sent: now})
				if attempts[x.Part]++; attempts[x.Part] > s.MaxAttempts {
					t.Fatalf("%s tried %d times", x.Part, attempts[x.Part])
				}
				out = append(out, flying{x, attempts[x.Part] - 1, now})
			case Answer:
				sum := 0.0
				for p, q := range partQuery {
					if q == x.Query && served[p] {
						sum += weight[p]
					}
				}
				completeFraction := s.Classes[0].CompleteFraction
				minFraction := min(s.Classes[0].MinFraction, completeFraction)
				wasComplete, second := first[x.Query]
				if second {
					if completeFraction = 1; s.Classes[0].MinFraction >= s.Classes[0].CompleteFraction {
						minFraction = 1
					}
				}
				if x.Complete && (sum < completeFraction-1e-4 || second && !wasComplete) || sum < minFraction-1e-4 {
					t.Fatalf("answer %+v from %.2f, second round %v", x, sum, second)
				}
				if k := s.Classes[0].SecondRoundParts; k > 0 && !second {
					first[x.Query] = x.Complete
					for p, q := range partQuery {
						if q == x.Query {
							weight[p] = 0 // the second round's parts count alone
						}
					}
					for i := range k {
						p := fmt.Sprint(x.Query, ".second.", i)
						partQuery[p], weight[p] = x.Query, 1/float64(k)
						next = append(next, PartArrived{ID: p, Number: number[x.Query], Shard: i, Weight: weight[p]})
						taken = append(taken, now)
					}
					continue
				}
				ends[x.Query]++
				delete(live, x.Query)
			case Reject:
				for p, q := range partQuery {
					for _, r := range runs[p] {
						if q == x.Query && repeat == NonIdempotent && !r.never {
							t.Fatalf("%s rejected, though %s may have run", q, p)
						}
					}
				}
				ends[x.Query]++
				delete(live, x.Query)
			case Fail:
				ends[x.Query]++
				delete(live, x.Query)
			}
		}
		for q, until := range live {
			if now > until {
				t.Fatalf("query %s is overdue", q)
			}
		}
		now += time.Duration(5+rng.IntN(20)) * ms
		events = append(next, TimerFired{})
		slices.SortFunc(out, func(x, y flying) int { return strings.Compare(x.Part, y.Part)*4 + x.no - y.no })
		out = slices.DeleteFunc(out, func(f flying) bool {
			o, end := Succeeded, rng.IntN(12) == 0
			if now-f.sent >= f.Timeout {
				o, end = TimedOut, true
			} else if end && rng.IntN(3) == 0 {
				o = Outcome(rng.IntN(int(NotSent)))
			}
			if end {
				served[f.Part] = served[f.Part] || o == Succeeded
				runs[f.Part][f.no].never = o == Rejected || o == ConnectFailed
				events = append(events, ended(f.Part, f.no, f.Replica, o, now-f.sent))
			}
			return end
		})
		if rng.IntN(3) == 0 {
			n++
			id, parts := fmt.Sprint("q", n), 1+rng.IntN(5)
			live[id], number[id] = now+time.Duration(1+rng.IntN(6))*sec, n
			taken = append(taken, slices.Repeat([]time.Duration{now}, 1+parts)...)
			events = append(events, QueryArrived{ID: id, Number: n, Class: s.Classes[0].Name, Parts: parts,
				Expires: live[id]})
			for i := range parts { // each half as heavy as the one before where an answer in part may be given
				p := fmt.Sprint(id, ".", i)
				partQuery[p], weight[p] = id, 1/float64(parts)
				if s.Classes[0].MinFraction < s.Classes[0].CompleteFraction {
					weight[p] = math.Pow(0.5, float64(min(i+1, parts-1)))
				}
				events = append(events, PartArrived{ID: p, Number: n, Shard: rng.IntN(8), Weight: weight[p]})
			}
		}
		if rng.IntN(40) == 0 {
			i := rng.IntN(len(ids))
			st := ReplicaState(rng.IntN(3))
			state[ids[i]] = st
			events = append(events, EndpointUpdate{Kind: IncrementalUpdate,
				Replicas: []Replica{{ID: ids[i], RingPosition: i % s.RingSize, State: st, StartedAt: now * toInt(st == Ready)}}})
		}
		if rng.IntN(50) == 0 { // nonsense about things it never heard of
			events = append(events, ended("nobody", 3, "nowhere", Succeeded, ms), QueryCancelled{ID: "nothing"},
				PartArrived{ID: "orphan", Number: -5})
		}
	}
	for q, k := range ends {
		if k != 1 {
			t.Fatalf("query %s got %d final answers", q, k)
		}
	}
	if len(ends) < steps/8 {
		t.Fatalf("only %d queries ended", len(ends))
	}
	return log
}

func randomSettings() map[string]Settings {
	plain := base()
	partial := base()
	partial.Classes[0].CompleteFraction, partial.Classes[0].MinFraction = 0.67, 0.4
	ring := base()
	ring.RingSize, ring.ReplicationFactor, ring.PartsPerCall = 6, 3, 8
	ring.SlowStart = SlowStart{InitialCapacity: 0.15, Duration: 16 * sec, OverloadFactor: 4, Window: sec}
	worthless := base()
	worthless.Classes[0].LateWeight, worthless.Cancellation, worthless.Hedging = 0, false, false
	guarded, single := base(), base()
	guarded.Classes[0].Idempotency, guarded.Classes[0].DedupWindow = Keyed, 400*ms
	single.Classes[0].Idempotency = NonIdempotent
	alone, steps, rationed := base(), base(), base()
	alone.Classes[0].Idempotency, alone.Hedging = NonIdempotent, false
	steps.Classes[0].MinFraction, steps.Classes[0].SecondRoundParts, steps.Classes[0].LateWeight = 0.4, 3, 0
	rationed.RetryBudget, rationed.MaxAttempts = &RetryBudget{MinRetries: 20, Ratio: 0.2, Window: 10 * sec}, 4
	return map[string]Settings{"single shot, no copies": alone, "two steps": steps, "rationed": rationed,
		"guarded": guarded, "single shot": single, "plain": plain, "partial": partial, "ring": ring, "worthless": worthless}
}

func TestRulesHoldUnderRandomEvents(t *testing.T) {
	t.Parallel()
	for name, s := range randomSettings() {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(8) {
				randomTraffic(t, seed, 1500, s)
			}
		})
	}
}

func TestSameEventsSameActions(t *testing.T) {
	t.Parallel()
	for name, s := range randomSettings() {
		first := randomTraffic(t, 3, 800, s)
		other := randomTraffic(t, 4, 800, s) // another instance in the same process changes nothing
		if !reflect.DeepEqual(first, randomTraffic(t, 3, 800, s)) {
			t.Errorf("%s: the same events gave other actions", name)
		}
		if reflect.DeepEqual(first, other) {
			t.Errorf("%s: other events gave the same actions", name)
		}
	}
}
