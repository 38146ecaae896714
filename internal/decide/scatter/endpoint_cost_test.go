package scatter

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"runtime"
	"syscall"
	"testing"
	"time"
)

// changeSizes are the numbers of replicas for which the cost of a changed entry is compared.
var changeSizes = []int{70, 700, 2100, 7000}

// fleetMember returns one of 1,500 coordinators with a list of so many replicas. With inUse, every shard has had a
// part, and every part has its outcome.
func fleetMember(t testing.TB, replicas int, inUse bool) *recordedLoad {
	s := newRecordedLoad(t, 5, replicas, false)
	set := s.machine.settings
	set.Coordinators, set.Ordinal = 1500, 700
	set.SlowStart = SlowStart{InitialCapacity: 0.2, Duration: 18 * sec, OverloadFactor: 2.5, Window: 1500 * ms}
	if err := s.machine.Configure(set); err != nil {
		t.Fatal(err)
	}
	queries := 1
	if inUse {
		queries = replicas
	}
	for range queries {
		s.query(replicas, false)
	}
	for len(s.out) > 0 {
		d := heap.Pop(&s.out).(delivery)
		s.now = max(s.now, d.at)
		s.step(false, d.ev)
	}
	return s
}

// change reports to the machine that a replica drains, and in the next call that it is back as a new process.
func (s *recordedLoad) change(no, replicas int) {
	position := no / 2 * 7 % replicas
	entry := Replica{ID: fmt.Sprint("r", position), RingPosition: position}
	if no%2 == 0 {
		entry.State = Draining
	} else {
		entry.StartedAt = s.now
	}
	s.now += 100 * time.Microsecond
	s.machine.Step(s.now, []Event{EndpointUpdate{Kind: IncrementalUpdate, Replicas: []Replica{entry}}})
}

// processTime returns the processor time that this process has used.
func processTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func BenchmarkChange(b *testing.B) {
	for _, inUse := range []bool{false, true} {
		for _, nodes := range changeSizes {
			b.Run(fmt.Sprintf("inuse=%t/nodes=%d", inUse, nodes), func(b *testing.B) {
				s := fleetMember(b, nodes, inUse)
				no := 0
				began := processTime(b)
				for b.Loop() {
					s.change(no, nodes)
					no++
				}
				b.ReportMetric(float64(processTime(b)-began)/float64(b.N), "cpu-ns/op")
			})
		}
	}
}

// churn draws random endpoint updates: replicas that drain, restart, are removed, join or move to another ring
// position, and full lists that omit some.
type churn struct {
	rng  *rand.Rand
	list []Replica
}

func newChurn(positions, layers int) *churn {
	c := &churn{rng: rand.New(rand.NewPCG(3, 9))}
	for i := range positions * layers {
		c.list = append(c.list, Replica{ID: fmt.Sprint("r", i), RingPosition: i % positions})
	}
	return c
}

// next returns the next update, given the time.
func (c *churn) next(now time.Duration, ringSize int) EndpointUpdate {
	var changed []Replica
	for range 1 + c.rng.IntN(4) {
		e := &c.list[c.rng.IntN(len(c.list))]
		switch c.rng.IntN(10) {
		case 0, 1, 2:
			e.State = Draining
		case 3:
			e.State = Removed
		case 4:
			e.RingPosition = c.rng.IntN(ringSize + 3)
		case 5:
			added := Replica{ID: fmt.Sprint("n", len(c.list)), RingPosition: c.rng.IntN(ringSize), StartedAt: now}
			c.list = append(c.list, added)
			e = &c.list[len(c.list)-1]
		case 6, 7, 8:
			e.State, e.StartedAt = Ready, now-time.Duration(c.rng.IntN(30))*sec
		default:
			e.State = Ready
		}
		changed = append(changed, *e)
	}
	switch c.rng.IntN(12) {
	case 0, 1:
		from := c.rng.IntN(3)
		return EndpointUpdate{Kind: FullUpdate, Replicas: c.list[from:]}
	case 2:
		return EndpointUpdate{Kind: CachedUpdate, Replicas: c.list}
	case 3:
		return EndpointUpdate{Kind: FailedUpdate}
	}
	return EndpointUpdate{Kind: IncrementalUpdate, Replicas: changed}
}

// The actions for recorded streams of queries, endpoint updates, new settings and restored checkpoints are the same as
// before the cost of a changed entry was limited to what it affects.
func TestActionsUnchangedByListCost(t *testing.T) {
	t.Parallel()
	if runtime.GOARCH != "amd64" {
		t.Skip("recorded on amd64")
	}
	for _, tc := range []struct {
		open, nodes, layers, coordinators, ordinal int
		withFaults                                 bool
		digest                                     uint64
	}{
		{5, 12, 1, 1, 0, true, 0x7b748cdcb76af0af},
		{20, 30, 2, 300, 17, true, 0x7b4ad8c64f82e463},
		{30, 60, 1, 900, 421, true, 0xe6e1117c0042dd2d},
		{20, 3, 3, 1, 0, true, 0xc7cdc68bc3d35e30},
		{10, 200, 1, 300, 5, false, 0x4fe9784adaba09d1},
	} {
		s := newRecordedLoad(t, tc.open, tc.nodes, tc.withFaults)
		set := s.machine.settings
		set.Coordinators, set.Ordinal, set.Subscribe, set.ListMaxAge = tc.coordinators, tc.ordinal, true, 60*sec
		set.SlowStart = SlowStart{InitialCapacity: 0.2, Duration: 18 * sec, OverloadFactor: 2.5, Window: 1500 * ms}
		configure := func() {
			if err := s.machine.Configure(set); err != nil {
				t.Fatal(err)
			}
		}
		configure()
		c := newChurn(tc.nodes, tc.layers)
		s.step(tc.withFaults, EndpointUpdate{Kind: FullUpdate, Replicas: c.list})
		for i := range 2000 {
			s.query(tc.nodes, tc.withFaults)
			if i%9 == 0 {
				s.step(tc.withFaults, c.next(s.now, tc.nodes))
			}
			switch i % 1000 {
			case 400:
				set.Coordinators += 40
				configure()
			case 600:
				added := Class{Name: "new", LatencyObjective: sec, Deadline: 2 * sec, CompleteFraction: 1, MinFraction: 1}
				set.Classes = append(set.Classes[:1:1], added, set.Classes[1])
				configure()
			case 700:
				set.Classes = append(set.Classes[:1:1], set.Classes[2])
				configure()
			case 800:
				s.machine.Restore(s.machine.Checkpoint())
			}
		}
		data, err := json.Marshal(s.machine.Checkpoint())
		if err != nil {
			t.Fatal(err)
		}
		stored := fnv.New64a()
		stored.Write(data)
		if s.digest ^= stored.Sum64(); s.digest != tc.digest {
			t.Errorf("%+v: digest %#x of %d actions", tc, s.digest, s.actions)
		}
	}
}

// A checkpoint may be restored right after new settings, without a step between.
func TestCheckpointAfterNewSettings(t *testing.T) {
	t.Parallel()
	const replicas = 12
	s := fleetMember(t, replicas, true)
	draining := Replica{ID: "r3", RingPosition: 3, State: Draining}
	s.step(false, EndpointUpdate{Kind: IncrementalUpdate, Replicas: []Replica{draining}})
	set := s.machine.settings
	added := Class{Name: "new", LatencyObjective: sec, Deadline: 2 * sec, CompleteFraction: 1, MinFraction: 1}
	set.Classes = append(set.Classes[:2:2], added)
	if err := s.machine.Configure(set); err != nil {
		t.Fatal(err)
	}
	before := s.machine.Checkpoint()
	s.machine.Restore(before)
	after := s.machine.Checkpoint()
	if fmt.Sprint(after.Replicas, after.Shards) != fmt.Sprint(before.Replicas, before.Shards) {
		t.Errorf("the checkpoint changed from %v to %v", before, after)
	}
	s.query(replicas, false)
}

// A changed entry visits as many replicas and shards in a list of 700 as in one of 70, however many shards are in use.
func TestChangeCostsWhatItConcerns(t *testing.T) {
	t.Parallel()
	for _, inUse := range []bool{false, true} {
		var least examined
		for _, replicas := range []int{70, 700} {
			s := fleetMember(t, replicas, inUse)
			s.machine.Step(s.now, []Event{EndpointUpdate{Kind: IncrementalUpdate}}) // processes what was due before
			s.machine.examined = examined{}
			for i := range 20 {
				s.change(i, replicas)
			}
			if replicas == 70 {
				least = s.machine.examined
			} else if s.machine.examined != least {
				t.Errorf("in use %t: %+v visited among %d, %+v among 70", inUse, s.machine.examined, replicas, least)
			}
		}
		if least.replicas == 0 || least.replicas > 20*20 {
			t.Errorf("in use %t: %+v visited for 20 changes", inUse, least)
		}
	}
}

// BenchmarkWideQuery measures queries to 120 shards at one of 1,500 coordinators, 180 per second. Each part is served
// after 20 ms, and each outcome is a step of its own.
func BenchmarkWideQuery(b *testing.B) {
	const parts = 120
	for _, replicas := range []int{600, 1800, 7000} {
		b.Run(fmt.Sprint("nodes=", replicas), func(b *testing.B) {
			s := fleetMember(b, replicas, true)
			ask := func() {
				next := s.now + time.Second/180
				for len(s.out) > 0 && s.out[0].at <= next {
					d := heap.Pop(&s.out).(delivery)
					s.now = max(s.now, d.at)
					s.served(d.ev)
				}
				s.now = next
				s.n++
				id := fmt.Sprint("w", s.n)
				events := []Event{QueryArrived{ID: id, Number: s.n, Class: "c", Expires: s.now + 5*sec, Parts: parts}}
				for i := range parts {
					shard := (int(s.n)*7 + i) % replicas
					events = append(events, PartArrived{ID: fmt.Sprint(id, ".", i), Number: s.n, Shard: shard, Weight: 1.0 / parts})
				}
				s.served(events...)
			}
			for range 2 * replicas / parts {
				ask()
			}
			began := processTime(b)
			for b.Loop() {
				ask()
			}
			b.ReportMetric(float64(processTime(b)-began)/float64(b.N), "cpu-ns/op")
		})
	}
}

// served runs a step, and serves the parts that it sends after 20 ms. It updates no digest.
func (s *recordedLoad) served(events ...Event) {
	for _, act := range s.machine.Step(s.now, events) {
		if x, ok := act.(Send); ok {
			heap.Push(&s.out, delivery{s.now + 20*ms, AttemptEnded{Part: x.Part, Replica: x.Replica, Latency: 20 * ms}})
		}
	}
}
