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

// randomTraffic feeds random but valid events to a machine, and checks the rules as invariants.
func randomTraffic(t *testing.T, seed uint64, steps int, s Settings) (log []Action) {
	rng := rand.New(rand.NewPCG(seed, 9))
	m, err := New(seed, s)
	if err != nil {
		t.Fatal(err)
	}
	type inFlight struct {
		Send
		no   int
		sent time.Duration
	}
	ids := []string{"a", "b", "c", "d", "e", "f"}
	state := map[string]ReplicaState{}
	var out []inFlight
	attempts, served := map[string]int{}, map[string]bool{}
	partQuery, weight := map[string]string{}, map[string]float64{}
	live, ends := map[string]time.Duration{}, map[string]int{}
	type tried struct {
		sent  time.Duration
		never bool // proven not to have run
	}
	tries := map[string][]*tried{}
	idempotency := s.Classes[0].Idempotency
	var retries, arrivals []time.Duration
	first := map[string]bool{} // queries in their second round: whether the first answer was complete
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
					t.Fatalf("part %s sent after the end of query %s", x.Part, q)
				}
				if state[x.Replica] != Ready {
					t.Fatalf("part sent to replica %s in state %d", x.Replica, state[x.Replica])
				}
				if !s.Hedging && slices.ContainsFunc(out, func(f inFlight) bool { return f.Part == x.Part }) {
					t.Fatalf("two attempts of part %s are outstanding", x.Part)
				}
				if b := s.RetryBudget; b != nil && attempts[x.Part] > 0 {
					retries = append(retries, now)
					retried, arrived := 0, 0
					for _, at := range retries {
						retried += int(toInt(now-at <= b.Window))
					}
					for _, at := range arrivals {
						arrived += int(toInt(now-at < b.Window))
					}
					if float64(retried) > float64(b.MinRetries)+b.Ratio*float64(arrived) {
						t.Fatalf("%d retries for %d queries and parts that arrived", retried, arrived)
					}
				}
				for _, r := range tries[x.Part] {
					if !r.never && (idempotency == NonIdempotent || idempotency == Keyed && now-r.sent > s.Classes[0].DedupWindow) {
						t.Fatalf("part %s sent again although it may have run", x.Part)
					}
				}
				tries[x.Part] = append(tries[x.Part], &tried{sent: now})
				if attempts[x.Part]++; attempts[x.Part] > s.MaxAttempts {
					t.Fatalf("part %s sent %d times", x.Part, attempts[x.Part])
				}
				out = append(out, inFlight{x, attempts[x.Part] - 1, now})
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
					t.Fatalf("answer %+v from weight %.2f, second round %v", x, sum, second)
				}
				if k := s.Classes[0].SecondRoundParts; k > 0 && !second {
					first[x.Query] = x.Complete
					for p, q := range partQuery {
						if q == x.Query {
							weight[p] = 0 // only the parts of the second round count
						}
					}
					for i := range k {
						p := fmt.Sprint(x.Query, ".second.", i)
						partQuery[p], weight[p] = x.Query, 1/float64(k)
						next = append(next, PartArrived{ID: p, Number: number[x.Query], Shard: i, Weight: weight[p]})
						arrivals = append(arrivals, now)
					}
					continue
				}
				ends[x.Query]++
				delete(live, x.Query)
			case Reject:
				for p, q := range partQuery {
					for _, r := range tries[p] {
						if q == x.Query && idempotency == NonIdempotent && !r.never {
							t.Fatalf("query %s rejected although part %s may have run", q, p)
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
		slices.SortFunc(out, func(x, y inFlight) int { return strings.Compare(x.Part, y.Part)*4 + x.no - y.no })
		out = slices.DeleteFunc(out, func(f inFlight) bool {
			o, end := Succeeded, rng.IntN(12) == 0
			if now-f.sent >= f.Timeout {
				o, end = TimedOut, true
			} else if end && rng.IntN(3) == 0 {
				o = Outcome(rng.IntN(int(NotSent)))
			}
			if end {
				served[f.Part] = served[f.Part] || o == Succeeded
				tries[f.Part][f.no].never = o == Rejected || o == ConnectFailed
				events = append(events, ended(f.Part, f.no, f.Replica, o, now-f.sent))
			}
			return end
		})
		if rng.IntN(3) == 0 {
			n++
			id, parts := fmt.Sprint("q", n), 1+rng.IntN(5)
			live[id], number[id] = now+time.Duration(1+rng.IntN(6))*sec, n
			arrivals = append(arrivals, slices.Repeat([]time.Duration{now}, 1+parts)...)
			events = append(events, QueryArrived{ID: id, Number: n, Class: s.Classes[0].Name, Parts: parts,
				Expires: live[id]})
			for i := range parts { // each half as heavy as the one before if partial answers are allowed
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
		if rng.IntN(50) == 0 { // events for parts, replicas and queries that do not exist
			events = append(events, ended("nobody", 3, "nowhere", Succeeded, ms), QueryCancelled{ID: "nothing"},
				PartArrived{ID: "orphan", Number: -5})
		}
	}
	for q, k := range ends {
		if k != 1 {
			t.Fatalf("query %s got %d final answers, want 1", q, k)
		}
	}
	if len(ends) < steps/8 {
		t.Fatalf("only %d queries ended, too few for the number of steps", len(ends))
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
	noLateWeight := base()
	noLateWeight.Classes[0].LateWeight, noLateWeight.Cancellation, noLateWeight.Hedging = 0, false, false
	keyed, nonIdempotent := base(), base()
	keyed.Classes[0].Idempotency, keyed.Classes[0].DedupWindow = Keyed, 400*ms
	nonIdempotent.Classes[0].Idempotency = NonIdempotent
	unhedged, twoRounds, withBudget := base(), base(), base()
	unhedged.Classes[0].Idempotency, unhedged.Hedging = NonIdempotent, false
	twoRounds.Classes[0].MinFraction, twoRounds.Classes[0].SecondRoundParts, twoRounds.Classes[0].LateWeight = 0.4, 3, 0
	withBudget.RetryBudget, withBudget.MaxAttempts = &RetryBudget{MinRetries: 20, Ratio: 0.2, Window: 10 * sec}, 4
	return map[string]Settings{"single shot, no copies": unhedged, "two steps": twoRounds, "rationed": withBudget,
		"guarded": keyed, "single shot": nonIdempotent, "plain": plain, "partial": partial, "ring": ring, "worthless": noLateWeight}
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
		other := randomTraffic(t, 4, 800, s) // another machine in the same process changes nothing
		if !reflect.DeepEqual(first, randomTraffic(t, 3, 800, s)) {
			t.Errorf("%s: the same events gave different actions", name)
		}
		if reflect.DeepEqual(first, other) {
			t.Errorf("%s: different events gave the same actions", name)
		}
	}
}
