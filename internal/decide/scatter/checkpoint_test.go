package scatter

import (
	"encoding/json"
	"reflect"
	"testing"
)

// A checkpoint of one Machine is restored at another one, through JSON. A replica that has restarted since is new
// there, and impossible figures are skipped.
func TestCheckpointIsRestored(t *testing.T) {
	s := base()
	s.Classes = append(s.Classes, s.Classes[0])
	s.Classes[1].Name = "d"
	list := EndpointUpdate{Kind: FullUpdate, Replicas: []Replica{{ID: "r1", StartedAt: 20 * sec}, {ID: "r2"}, {ID: "r3"}}}
	newMachine := func(seed uint64) *Machine {
		a, err := New(seed, s)
		if err != nil {
			t.Fatal(err)
		}
		a.Step(100*sec, []Event{list})
		return a
	}
	old := newMachine(1)
	now := 100 * sec
	for n := int64(1); n < 200; n++ {
		now += 50 * ms
		events := []Event{QueryArrived{ID: "q", Number: n, Class: "c", Parts: 1, Expires: now + 5*sec},
			PartArrived{ID: "p", Number: n, Weight: 1}}
		for _, act := range old.Step(now, events) {
			if send, ok := act.(Send); ok { // r3 fails each time
				out := Succeeded
				if send.Replica == "r3" {
					out = Errored
				}
				now += 10 * ms
				ended := AttemptEnded{Part: send.Part, Replica: send.Replica, Outcome: out, Latency: 10 * ms}
				old.Step(now, []Event{ended, QueryCancelled{ID: "q"}})
			}
		}
	}
	saved := old.Checkpoint()
	if !old.replicas.byID["r3"].health.ejected || saved.WarmedUpRate == 0 || len(saved.Classes[0].Latencies) == 0 {
		t.Fatalf("the checkpoint holds nothing learned: %+v", saved)
	}
	data, err := json.Marshal(saved)
	if err != nil {
		t.Fatal(err)
	}
	var decoded Checkpoint
	if err := json.Unmarshal(data, &decoded); err != nil || !reflect.DeepEqual(decoded, saved) {
		t.Fatalf("%v: %s", err, data)
	}

	list.Replicas[0].StartedAt = 90 * sec // restarted
	fresh := newMachine(2)
	fresh.Restore(decoded)
	got := fresh.Checkpoint()
	got.At = saved.At
	if !reflect.DeepEqual(got.Classes, saved.Classes) || got.WarmedUpRate != saved.WarmedUpRate ||
		got.Intervals != saved.Intervals || !reflect.DeepEqual(got.Shards, saved.Shards) ||
		!reflect.DeepEqual(got.Replicas[1:], saved.Replicas[1:]) {
		t.Errorf("restored\n%+v, saved\n%+v", got, saved)
	}
	if r := fresh.replicas.byID["r1"]; r.slowStart.from != 90*sec || r.health.lastSuccess != 0 {
		t.Errorf("the state of a restarted replica was restored: %+v", r)
	}

	decoded.Classes[0].MeanLatency, decoded.WarmedUpRate = -1, -1
	decoded.Replicas[1].LatencyRatio, decoded.Replicas[2].ClassExcludedUntil = 0, nil
	partial := newMachine(3)
	partial.Restore(decoded)
	if r := partial.replicas.byID["r3"]; partial.classes.byName["c"].meanLatency <= 0 ||
		partial.traffic.warmedUpRate < 0 || partial.replicas.byID["r2"].latencyRatio == 0 ||
		r.health.ejected || len(r.classHealth) != 2 {
		t.Error("impossible figures were restored")
	}
	partial.Step(101*sec, nil)
}
