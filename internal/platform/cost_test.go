package platform

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
	"harepass/internal/test/fake"
)

// BenchmarkWideQuery runs a query over all shards of 60 replicas. A coordinator of a large fleet gets one every few
// seconds, and its cost delays the answer there, because the machine has a quarter of a core. Most of the CPU time
// measured here is that of the fake replicas.
func BenchmarkWideQuery(b *testing.B) {
	const replicas, shards = 60, 120
	clock := core.SystemClock()
	caller := &Caller{
		CallsPerConn: 32, ConnectTimeout: time.Second, ResponseTimeout: time.Second, KeepAlive: 30 * time.Second,
	}
	settings := scatter.Settings{
		Coordinators: 80, RingSize: replicas, ReplicationFactor: 3, PartsPerCall: 1,
		TickInterval: time.Millisecond, MaxAttempts: 4, Cancellation: true, Subscribe: true,
		Classes: []scatter.Class{{Name: "summary", LatencyObjective: 380 * time.Millisecond, Deadline: 2 * time.Second,
			PriorityWeight: 3, LateWeight: 0.3, CompleteFraction: 1, MinFraction: 0.7}},
	}
	coordinator, err := core.New(core.Config{Seed: 1, Clock: clock, Subscribe: func() {}, PolledSource: Source,
		Callers: map[string]core.Caller{Scheme: caller}, Settings: settings})
	if err != nil {
		b.Fatal(err)
	}
	caller.Reporter = coordinator
	var list []core.Endpoint
	for i := range replicas {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		defer l.Close()
		go (&fake.Replicas{Script: func(shard, _ int) fake.Reply { // answers at different times, as real replicas do
			return fake.Reply{After: time.Duration(5+shard*37%50) * time.Millisecond}
		}}).ServeFrames(l)
		replica := scatter.Replica{ID: fmt.Sprint("n", i), RingPosition: i}
		list = append(list, core.Endpoint{Replica: replica, Address: l.Addr().String(), Scheme: Scheme})
	}
	go coordinator.Run()
	defer caller.Close()
	coordinator.UpdateEndpoints(Source, scatter.FullUpdate, list)
	var parts []core.Part
	for i := range shards {
		parts = append(parts, core.Part{Shard: i, Weight: 1.0 / shards})
	}
	var before, after syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &before)
	for b.Loop() {
		id := fmt.Sprint("q", clock().Nanoseconds())
		a := coordinator.Execute(&core.Query{ID: id, Class: "summary", Deadline: clock() + 2*time.Second,
			Body: []byte("c41e77d0"), Parts: parts}, nil)
		if a.Status != core.Served {
			b.Fatalf("%+v", a.Status)
		}
	}
	syscall.Getrusage(syscall.RUSAGE_SELF, &after)
	spent := after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano()
	b.ReportMetric(float64(spent)/1e6/float64(b.N), "cpu-ms/op")
}
