package scatter

import (
	"encoding/json"
	"reflect"
	"testing"
)

// What one coordinator has learned is restored at another one, through JSON. A replica that was started since is new
// there, and figures that cannot have been learned are left out.
func TestCheckpointIsRestored(t *testing.T) {
	s := base()
	s.Classes = append(s.Classes, s.Classes[0])
	s.Classes[1].Name = "d"
	list := EndpointUpdate{Kind: FullUpdate, Replicas: []Replica{{ID: "r1", StartedAt: 20 * sec}, {ID: "r2"}, {ID: "r3"}}}
	learn := func(seed uint64) *Machine {
		a, err := New(seed, s)
		if err != nil {
			t.Fatal(err)
		}
		a.Step(100*sec, []Event{list})
		return a
	}
	old := learn(1)
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
	m := old.Checkpoint()
	if !old.replicas.byID["r3"].health.ejected || m.WarmedUpRate == 0 || len(m.Classes[0].Latencies) == 0 {
		t.Fatalf("nothing was learned: %+v", m)
	}
	data, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	var again Checkpoint
	if err := json.Unmarshal(data, &again); err != nil || !reflect.DeepEqual(again, m) {
		t.Fatalf("%v: %s", err, data)
	}

	list.Replicas[0].StartedAt = 90 * sec // restarted
	fresh := learn(2)
	fresh.Restore(again)
	got := fresh.Checkpoint()
	got.At = m.At
	if !reflect.DeepEqual(got.Classes, m.Classes) || got.WarmedUpRate != m.WarmedUpRate ||
		got.Intervals != m.Intervals || !reflect.DeepEqual(got.Shards, m.Shards) ||
		!reflect.DeepEqual(got.Replicas[1:], m.Replicas[1:]) {
		t.Errorf("recalled\n%+v, remembered\n%+v", got, m)
	}
	if r := fresh.replicas.byID["r1"]; r.slowStart.from != 90*sec || r.health.lastSuccess != 0 {
		t.Errorf("a replica that was started anew is known as it was: %+v", r)
	}

	again.Classes[0].MeanLatency, again.WarmedUpRate = -1, -1
	again.Replicas[1].LatencyRatio, again.Replicas[2].ClassExcludedUntil = 0, nil
	doubtful := learn(3)
	doubtful.Restore(again)
	if r := doubtful.replicas.byID["r3"]; doubtful.classes.byName["c"].meanLatency <= 0 ||
		doubtful.traffic.warmedUpRate < 0 || doubtful.replicas.byID["r2"].latencyRatio == 0 ||
		r.health.ejected || len(r.classHealth) != 2 {
		t.Error("figures that cannot be were taken over")
	}
	doubtful.Step(101*sec, nil)
}
