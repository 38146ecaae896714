package platform

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"harepass"
	"harepass/internal/core"
	"harepass/internal/standin"
)

// A query over every section of 60 nodes, as a coordinator of a large fleet gets one every few seconds: what it costs
// there moves the answer, for the machine has a quarter of a core. Most of what is counted here is the nodes' own part.
func BenchmarkWideQuery(b *testing.B) {
	const nodes, sections = 60, 120
	clock := core.SystemClock()
	caller := &Nodes{Streams: 32, ConnectTimeout: time.Second, Quiet: time.Second, KeepAlive: 30 * time.Second}
	owner, err := core.New(core.Config{Seed: 1, Clock: clock, Subscribe: func() {}, Asked: Source,
		Callers: map[string]core.Caller{Scheme: caller}, Settings: harepass.Settings{Roots: 80, Cells: nodes, Reach: 3, CallBatch: 1,
			Turn: time.Millisecond, MaxAttempts: 4, Cancel: true, Subscribe: true, Classes: []harepass.Class{
				{Name: "summary", Aim: 380 * time.Millisecond, Deadline: 2 * time.Second, Worth: 3, LateWorth: 0.3, Need: 1, Floor: 0.7}}}})
	if err != nil {
		b.Fatal(err)
	}
	caller.Owner = owner
	var list []core.Node
	for i := range nodes {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		defer l.Close()
		go (&standin.Fleet{Script: func(shard, _ int) standin.Reply { // apart from each other, as nodes answer
			return standin.Reply{After: time.Duration(5+shard*37%50) * time.Millisecond}
		}}).Frames(l)
		list = append(list, core.Node{Replica: harepass.Replica{ID: fmt.Sprint("n", i), Cell: i}, Address: l.Addr().String(), Scheme: Scheme})
	}
	go owner.Run()
	defer caller.Close()
	owner.Listed(Source, harepass.ListFull, list)
	var parts []core.Part
	for i := range sections {
		parts = append(parts, core.Part{Shard: i, Weight: 1.0 / sections})
	}
	var before, after syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &before)
	for b.Loop() {
		id := fmt.Sprint("q", clock().Nanoseconds())
		a := owner.Ask(&core.Query{ID: id, Class: "summary", Until: clock() + 2*time.Second, Text: []byte("c41e77d0"), Parts: parts}, nil)
		if a.Verdict != core.Served {
			b.Fatalf("%+v", a.Verdict)
		}
	}
	syscall.Getrusage(syscall.RUSAGE_SELF, &after)
	spent := after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano()
	b.ReportMetric(float64(spent)/1e6/float64(b.N), "cpu-ms/op")
}
