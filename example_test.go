package harepass_test

import (
	"fmt"
	"time"

	"harepass"
)

// One query of two parts is sent, served and answered.
func Example() {
	agg, err := harepass.New(7, harepass.Settings{
		Roots: 1, Cells: 1, Reach: 1, CallBatch: 8, MaxAttempts: 3, SecondCopies: true, Cancel: true,
		Classes: []harepass.Class{{Name: "search", Aim: 2 * time.Second, Deadline: 6 * time.Second,
			Worth: 1, Need: 1, Floor: 1}},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	show := func(acts []harepass.Action) {
		for _, act := range acts {
			switch act := act.(type) {
			case harepass.Send:
				fmt.Println("send", act.Part, "to", act.Replica)
			case harepass.Answer:
				fmt.Println("answer", act.Query, "whole:", act.Whole)
			}
		}
	}
	show(agg.Step(time.Second, []harepass.Event{
		harepass.ListReceived{Scope: harepass.ListFull, Replicas: []harepass.Replica{{ID: "r1"}}},
		harepass.QueryArrived{ID: "q", Number: 1, Class: "search", Parts: 2, ValidUntil: 7 * time.Second},
		harepass.PartArrived{ID: "p0", Number: 1, Shard: 0, Weight: 0.5},
		harepass.PartArrived{ID: "p1", Number: 1, Shard: 1, Weight: 0.5},
	}))
	show(agg.Step(1200*time.Millisecond, []harepass.Event{
		harepass.AttemptEnded{Part: "p0", Replica: "r1", Took: 200 * time.Millisecond},
		harepass.AttemptEnded{Part: "p1", Replica: "r1", Took: 200 * time.Millisecond},
	}))
	// Output:
	// send p0 to r1
	// send p1 to r1
	// answer q whole: true
}
