package scatter

import (
	"container/heap"
	"fmt"
	"testing"
	"time"
)

// coordinators are those of a large fleet in virtual time. Each has its own machine and knows only the number of the
// others. They share replicas, one at each ring position, that serve each part after a time.
type coordinators struct {
	now      time.Duration
	all      []*coordinator
	service  func(replica string) (Outcome, time.Duration) // negative if the replica does not answer
	onSend   func(replica string)
	onEnd    func(query string, took time.Duration) // called for each answered query
	due      fleetEvents
	queries  int64
	arrivals map[string]time.Duration
}

type coordinator struct {
	machine  *Machine
	attempts map[string]int
}

type fleetEvent struct {
	at time.Duration
	ev Event
	to *coordinator
}

type fleetEvents []fleetEvent

func (d fleetEvents) Len() int           { return len(d) }
func (d fleetEvents) Less(i, j int) bool { return d[i].at < d[j].at }
func (d fleetEvents) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *fleetEvents) Push(x any)        { *d = append(*d, x.(fleetEvent)) }
func (d *fleetEvents) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

func newCoordinators(t *testing.T, n int, s Settings) *coordinators {
	f := &coordinators{
		now: 100 * sec, arrivals: map[string]time.Duration{},
		onSend: func(string) {}, onEnd: func(string, time.Duration) {},
	}
	s.Coordinators = n
	for i := range n {
		s.Ordinal = i + 1
		m, err := New(uint64(i), s)
		if err != nil {
			t.Fatal(err)
		}
		f.all = append(f.all, &coordinator{machine: m, attempts: map[string]int{}})
	}
	return f
}

// updateAll gives every coordinator the same endpoint list.
func (f *coordinators) updateAll(scope UpdateKind, list ...Replica) {
	for _, r := range f.all {
		f.step(r, EndpointUpdate{Kind: scope, Replicas: list})
	}
}

func (f *coordinators) step(r *coordinator, events ...Event) {
	for _, act := range r.machine.Step(f.now, events) {
		switch x := act.(type) {
		case SetTimer:
			heap.Push(&f.due, fleetEvent{f.now + x.After, TimerFired{}, r})
		case CancelAttempt: // a cancelled part still runs at its replica
			ended := AttemptEnded{Part: x.Part, Attempt: x.Attempt, Outcome: Cancelled, Latency: 200 * ms}
			heap.Push(&f.due, fleetEvent{f.now, ended, r})
		case Answer:
			f.onEnd(x.Query, f.now-f.arrivals[x.Query])
		case Send:
			f.onSend(x.Replica)
			end, took := f.service(x.Replica)
			if took < 0 || took > x.Timeout {
				end, took = TimedOut, x.Timeout
			}
			no := r.attempts[x.Part]
			r.attempts[x.Part]++
			ended := AttemptEnded{Part: x.Part, Attempt: no, Replica: x.Replica, Outcome: end, Latency: took}
			heap.Push(&f.due, fleetEvent{f.now + took, ended, r})
		}
	}
}

// run sends a query every gap for span, each to another coordinator. A query needs the given number of consecutive
// shards; the first one advances from query to query around the ring.
func (f *coordinators) run(span, gap time.Duration, shards, ringSize int) {
	for until := f.now + span; f.now < until; {
		next := f.now + gap
		for len(f.due) > 0 && f.due[0].at <= next {
			d := heap.Pop(&f.due).(fleetEvent)
			f.now = max(f.now, d.at)
			f.step(d.to, d.ev)
		}
		f.now = next
		f.queries++
		r := f.all[int(f.queries*7)%len(f.all)]
		id := fmt.Sprint("q", f.queries)
		f.arrivals[id] = f.now
		events := []Event{QueryArrived{ID: id, Number: f.queries, Class: "c", Expires: f.now + sec, Parts: shards}}
		for i := range shards {
			shard := (int(f.queries)*11 + i) % ringSize
			part := fmt.Sprint(id, ".", i)
			events = append(events, PartArrived{ID: part, Number: f.queries, Shard: shard, Weight: 1 / float64(shards)})
		}
		f.step(r, events...)
	}
}

// A replica in slow start is sent at most what the slow start rule allows, by all coordinators together, and still as
// much as it can serve. Each coordinator sends to it rarely, so whole tokens saved by each one would leave it idle
// while its siblings carry its load. The same holds for hundreds of coordinators of which most have just started too.
func TestFleetUsesReplicaInSlowStart(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		coordinators, fresh, replicas int
		gap                           time.Duration // between queries, a part for each replica
		capacity                      float64       // parts per second of a warmed up replica with several cores
	}{
		{80, 0, 6, 10 * ms, 150},
		{300, 0, 30, 25 * ms, 90},
		{300, 210, 30, 25 * ms, 90},
	} {
		s := Settings{RingSize: tc.replicas, ReplicationFactor: 3, PartsPerCall: 1, TickInterval: ms,
			MaxAttempts: 4, Cancellation: true, RetryAfter: sec,
			Classes: []Class{{Name: "c", LatencyObjective: 380 * ms, Deadline: sec, PriorityWeight: 1, LateWeight: 0.3,
				CompleteFraction: 1, MinFraction: 0.7}},
			SlowStart: SlowStart{InitialCapacity: 0.2, Duration: 18 * sec, OverloadFactor: 2.5, Window: 1500 * ms}}
		f := newCoordinators(t, tc.coordinators, s)
		var list []Replica
		for i := range tc.replicas {
			list = append(list, Replica{ID: fmt.Sprint("r", i), RingPosition: i})
		}
		f.service = func(string) (Outcome, time.Duration) { return Succeeded, 40 * ms }
		f.updateAll(FullUpdate, list...)
		f.run(6*sec, tc.gap, tc.replicas, tc.replicas)
		list[0].StartedAt = f.now
		var sent []time.Duration
		f.onSend = func(replica string) {
			if replica == list[0].ID {
				sent = append(sent, f.now)
			}
		}
		fresh := newCoordinators(t, tc.coordinators, s)
		for i := range tc.fresh {
			f.all[i].machine = fresh.all[i].machine // the new machine does not know the old one's outstanding attempts
		}
		f.updateAll(FullUpdate, list...)
		f.run(8*sec, tc.gap, tc.replicas, tc.replicas)
		ramp := func(at time.Duration) float64 { return 0.2 + 0.8*(at-list[0].StartedAt).Seconds()/18 }
		worst, from := 0.0, 0
		for i, at := range sent {
			for at-sent[from] > s.SlowStart.Window {
				from++
			}
			allowed := s.SlowStart.OverloadFactor * ramp(sent[from]) * tc.capacity * s.SlowStart.Window.Seconds()
			worst = max(worst, float64(i-from+1)/allowed)
		}
		// A share of what the replica can certainly serve in the 8 s, or of the demand for it if that is less.
		least := 0.55 * min(tc.capacity*ramp(list[0].StartedAt+4*sec), 1/tc.gap.Seconds()) * 8
		t.Logf("%d coordinators, %d fresh: %d parts, want %.0f; at worst %.2f of the overload limit",
			tc.coordinators, tc.fresh, len(sent), least, worst)
		if worst > slowStartSafety {
			t.Errorf("%d coordinators, %d fresh: one window had %.2f of the overload limit", tc.coordinators, tc.fresh, worst)
		}
		if float64(len(sent)) < least {
			t.Errorf("%d coordinators, %d fresh: %d parts in 8 s, want at least %.0f",
				tc.coordinators, tc.fresh, len(sent), least)
		}
	}
}

// Two of a shard's three holders fall silent, and the third gets more parts than it can serve. Parts that it accepts
// beyond its capacity are served after their objective, when no query needs them any more. So hundreds of coordinators,
// each of which sends to it every few seconds, have to send less together. Their queries for other shards continue, and
// those that the replica can serve are served.
func TestLastHolderIsNotOverloaded(t *testing.T) {
	t.Parallel()
	const (
		replicas, shards = 30, 5
		service          = time.Second / 80 // for one part; parts are served one at a time
		queue            = 450 * ms         // work that may wait; beyond it parts are rejected
	)
	f := newCoordinators(t, 300, Settings{
		RingSize: replicas, ReplicationFactor: 3, PartsPerCall: 1, TickInterval: ms,
		MaxAttempts: 4, Cancellation: true, RetryAfter: sec,
		Classes: []Class{{Name: "c", LatencyObjective: 380 * ms, Deadline: sec, PriorityWeight: 1, LateWeight: 0.3,
			CompleteFraction: 1, MinFraction: 1}},
	})
	var list []Replica
	for i := range replicas {
		list = append(list, Replica{ID: fmt.Sprint("r", i), RingPosition: i})
	}
	free, silent := map[string]time.Duration{}, map[string]bool{}
	f.service = func(replica string) (Outcome, time.Duration) {
		if free[replica] = max(free[replica], f.now); free[replica]-f.now > queue {
			return Rejected, 2 * ms
		}
		free[replica] += service
		if silent[replica] {
			return Succeeded, -1
		}
		return Succeeded, free[replica] - f.now
	}
	f.updateAll(FullUpdate, list...)
	f.run(4*sec, 3*ms, shards, replicas) // 55 parts per second for each replica
	silent["r1"], silent["r2"] = true, true
	f.run(4*sec, 3*ms, shards, replicas)
	begun, served := f.queries, map[bool]int{}
	f.onEnd = func(query string, took time.Duration) {
		var n int64
		if fmt.Sscanf(query, "q%d", &n); n > begun && took <= 380*ms {
			first := int(n) * 11 % replicas
			served[first >= replicas-shards+1 || first <= 1]++ // needs shard 0 or 1, whose last holders are r0 and r3
		}
	}
	f.run(8*sec, 3*ms, shards, replicas)
	asked := 8 * 333 / replicas // queries that start at each shard
	hard, easy := float64(served[true])/float64(6*asked), float64(served[false])/float64(24*asked)
	t.Logf("served: %.2f of queries that need a last holder, %.2f of the others", hard, easy)
	if hard < 0.35 || easy < 0.95 {
		t.Errorf("served: %.2f of queries that need a last holder, %.2f of the others; want 0.35 and 0.95", hard, easy)
	}
}

// One of 300 coordinators that know their ordinals sends to the two holders of a shard that are in its subset as long
// as these are usable. If one fails it sends to the third at once, and stops when the failed one has recovered. A
// coordinator that does not know its ordinal sends to all.
func TestKeepsItsSubset(t *testing.T) {
	t.Parallel()
	const replicas = 30
	newRun := func(ordinal int) (a *coordinators, used func(bad string) map[string]bool) {
		f := newCoordinators(t, 1, Settings{
			RingSize: replicas, ReplicationFactor: 3, PartsPerCall: 1, TickInterval: ms, MaxAttempts: 4, Cancellation: true,
			Classes: []Class{{Name: "c", LatencyObjective: 380 * ms, Deadline: sec, PriorityWeight: 1, LateWeight: 0.3,
				CompleteFraction: 1, MinFraction: 1}},
		})
		s := f.all[0].machine.settings
		s.Coordinators, s.Ordinal = 300, ordinal
		if err := f.all[0].machine.Configure(s); err != nil {
			t.Fatal(err)
		}
		var list []Replica
		for i := range replicas {
			list = append(list, Replica{ID: fmt.Sprint("r", i), RingPosition: i})
		}
		f.updateAll(FullUpdate, list...)
		return f, func(bad string) map[string]bool {
			f.service = func(replica string) (Outcome, time.Duration) {
				if replica == bad {
					return ConnectFailed, ms
				}
				return Succeeded, 30 * ms
			}
			f.run(2*sec, 50*ms, 3, replicas) // by then it has sent to the bad one
			seen := map[string]bool{}
			f.onSend = func(replica string) { seen[replica] = true }
			f.run(20*sec, 50*ms, 3, replicas)
			f.onSend = func(string) {}
			return seen
		}
	}
	if _, used := newRun(0); len(used("")) != replicas {
		t.Error("a coordinator without an ordinal sends to a subset only")
	}
	_, used := newRun(150)
	before := used("")
	if len(before) != replicas*2/3 {
		t.Errorf("%d of %d replicas used", len(before), replicas)
	}
	for s := range replicas {
		if n := count3(before, s, replicas); n != 2 {
			t.Errorf("shard %d: %d holders used, want 2", s, n)
		}
	}
	bad := ""
	for i := range replicas {
		if id := fmt.Sprint("r", i); before[id] {
			bad = id
			break
		}
	}
	during := used(bad)
	if len(during) <= len(before) {
		t.Errorf("%d replicas used while one fails, %d before", len(during), len(before))
	}
	for id := range used("") { // the bad one has been reinstated by now
		if used := before[id]; !used && during[id] == false {
			t.Errorf("%s is used although it was not used before", id)
		}
	}
	if after := used(""); len(after) != len(before) {
		t.Errorf("%d replicas used after the recovery, %d before", len(after), len(before))
	}
}

// count3 returns how many of a shard's three holders were used.
func count3(used map[string]bool, shard, replicas int) (n int) {
	for j := range 3 {
		if used[fmt.Sprint("r", (shard+j)%replicas)] {
			n++
		}
	}
	return n
}
