package scatter

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"runtime"
	"testing"
	"time"
)

// delivery is an outcome that has not arrived yet.
type delivery struct {
	at time.Duration
	ev AttemptEnded
}

type deliveries []delivery

func (d deliveries) Len() int           { return len(d) }
func (d deliveries) Less(i, j int) bool { return d[i].at < d[j].at }
func (d deliveries) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)        { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// recordedLoad keeps a number of queries of six parts open at a coordinator. Each part is served after 100 ms, except
// some that fail or are never answered. Every arrival and every outcome is a step of its own, as it comes from a
// socket. digest is a hash of all actions.
type recordedLoad struct {
	machine *Machine
	now     time.Duration
	every   time.Duration
	out     deliveries
	n       int64
	sent    map[string]int
	actions int
	digest  uint64
	// wireForm encodes actions as lines on the wire.
	wireForm func([]Action) []byte
}

// NewWireForm returns a function that encodes actions as lines on the wire. The function is not safe for concurrent
// use.
var NewWireForm func() func([]Action) []byte

func newRecordedLoad(t testing.TB, open, replicas int, withFaults bool) *recordedLoad {
	s := Settings{
		Coordinators: 1, RingSize: replicas, ReplicationFactor: 3, PartsPerCall: 1, TickInterval: 5 * ms,
		MaxAttempts: 4, Cancellation: true, RetryAfter: sec,
		Classes: []Class{
			{Name: "c", LatencyObjective: 1500 * ms, Deadline: 5 * sec, PriorityWeight: 1, LateWeight: 0.3,
				CompleteFraction: 1, MinFraction: 0.7},
			{Name: "once", LatencyObjective: 1500 * ms, Deadline: 5 * sec, PriorityWeight: 2, LateWeight: 0.1,
				CompleteFraction: 1, MinFraction: 1, Idempotency: NonIdempotent},
		},
	}
	m, err := New(1, s)
	if err != nil {
		t.Fatal(err)
	}
	st := &recordedLoad{machine: m, now: 100 * sec, every: 100 * ms / time.Duration(open), sent: map[string]int{},
		wireForm: NewWireForm()}
	var list []Replica
	for i := range replicas {
		list = append(list, Replica{ID: fmt.Sprint("r", i), RingPosition: i})
	}
	st.step(withFaults, EndpointUpdate{Kind: FullUpdate, Replicas: list})
	return st
}

func (s *recordedLoad) step(withFaults bool, events ...Event) {
	h := fnv.New64a()
	actions := s.machine.Step(s.now, events)
	h.Write(s.wireForm(actions))
	for _, act := range actions {
		s.actions++
		if x, ok := act.(Send); ok {
			no := s.sent[x.Part]
			s.sent[x.Part]++
			o, after := Succeeded, 100*ms
			if k := len(s.sent) + int(x.Replica[1])*7; withFaults && k%11 == 0 {
				o, after = Errored, 20*ms
			} else if withFaults && k%13 == 0 {
				o, after = TimedOut, x.Timeout
			}
			ended := AttemptEnded{Part: x.Part, Attempt: no, Replica: x.Replica, Outcome: o, Latency: after}
			heap.Push(&s.out, delivery{s.now + after, ended})
		}
	}
	s.digest = s.digest*31 + h.Sum64()
}

// query opens the next query, after processing everything that is due before it.
func (s *recordedLoad) query(replicas int, withFaults bool) {
	next := s.now + s.every
	for len(s.out) > 0 && s.out[0].at <= next {
		d := heap.Pop(&s.out).(delivery)
		s.now = max(s.now, d.at)
		s.step(withFaults, d.ev)
		if len(s.sent) > 1<<16 {
			clear(s.sent)
		}
	}
	s.now = next
	s.n++
	class, parts := "c", 6
	if s.n%5 == 0 {
		class, parts = "once", 1
	}
	id := fmt.Sprint("q", s.n)
	events := []Event{QueryArrived{ID: id, Number: s.n, Class: class, Expires: s.now + 5*sec, Parts: parts}}
	for i := range parts {
		shard := (int(s.n)*7 + i) % replicas
		part := fmt.Sprint(id, ".", i)
		events = append(events, PartArrived{ID: part, Number: s.n, Shard: shard, Weight: 1 / float64(parts)})
	}
	s.step(withFaults, events...)
}

// The actions for recorded events are the same as before steps were made cheaper. Other processors round some products
// differently, so their draws may differ in the end.
func TestActionsUnchanged(t *testing.T) {
	t.Parallel()
	if runtime.GOARCH != "amd64" {
		t.Skip("recorded on amd64")
	}
	for _, tc := range []struct {
		open, nodes int
		withFaults  bool
		digest      uint64
	}{{5, 12, false, 0xbefb846d54fb6568}, {20, 12, true, 0xfacacc8b172530cc}, {60, 40, true, 0x4cf9b4722d574f8e}} {
		s := newRecordedLoad(t, tc.open, tc.nodes, tc.withFaults)
		for range 1500 {
			s.query(tc.nodes, tc.withFaults)
		}
		if s.digest != tc.digest {
			t.Errorf("%+v: digest %#x of %d actions", tc, s.digest, s.actions)
		}
	}
}

func BenchmarkOpen(b *testing.B) {
	for _, bc := range []struct{ open, nodes int }{{10, 12}, {100, 12}, {1000, 12}, {100, 1200}} {
		b.Run(fmt.Sprintf("open=%d/nodes=%d", bc.open, bc.nodes), func(b *testing.B) {
			s := newRecordedLoad(b, bc.open, bc.nodes, false)
			for range bc.open * 2 {
				s.query(bc.nodes, false)
			}
			b.ResetTimer()
			for b.Loop() {
				s.query(bc.nodes, false)
			}
		})
	}
}
