package scatter_test

import (
	"fmt"
	"time"

	"harepass/internal/decide/scatter"
)

// A query of two parts is sent, served and answered.
func Example() {
	machine, err := scatter.New(7, scatter.Settings{
		Coordinators: 1, RingSize: 1, ReplicationFactor: 1, PartsPerCall: 8,
		MaxAttempts: 3, Hedging: true, Cancellation: true,
		Classes: []scatter.Class{{Name: "search", LatencyObjective: 2 * time.Second, Deadline: 6 * time.Second,
			PriorityWeight: 1, CompleteFraction: 1, MinFraction: 1}},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	show := func(acts []scatter.Action) {
		for _, act := range acts {
			switch act := act.(type) {
			case scatter.Send:
				fmt.Println("send", act.Part, "to", act.Replica)
			case scatter.Answer:
				fmt.Println("answer", act.Query, "whole:", act.Complete)
			}
		}
	}
	show(machine.Step(time.Second, []scatter.Event{
		scatter.EndpointUpdate{Kind: scatter.FullUpdate, Replicas: []scatter.Replica{{ID: "r1"}}},
		scatter.QueryArrived{ID: "q", Number: 1, Class: "search", Parts: 2, Expires: 7 * time.Second},
		scatter.PartArrived{ID: "p0", Number: 1, Shard: 0, Weight: 0.5},
		scatter.PartArrived{ID: "p1", Number: 1, Shard: 1, Weight: 0.5},
	}))
	show(machine.Step(1200*time.Millisecond, []scatter.Event{
		scatter.AttemptEnded{Part: "p0", Replica: "r1", Latency: 200 * time.Millisecond},
		scatter.AttemptEnded{Part: "p1", Replica: "r1", Latency: 200 * time.Millisecond},
	}))
	// Output:
	// send p0 to r1
	// send p1 to r1
	// answer q whole: true
}
