package harepass

import (
	"encoding/json"
	"reflect"
	"testing"
)

// What one root has learned is at another one as it was, through JSON; a replica that was started since is new there,
// and what cannot have been learned is left out.
func TestMemoryGoesOver(t *testing.T) {
	s := base()
	s.Classes = append(s.Classes, s.Classes[0])
	s.Classes[1].Name = "d"
	list := ListReceived{Scope: ListFull, Replicas: []Replica{{ID: "r1", Since: 20 * sec}, {ID: "r2"}, {ID: "r3"}}}
	learn := func(seed uint64) *Aggregator {
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
		events := []Event{QueryArrived{ID: "q", Number: n, Class: "c", Parts: 1, ValidUntil: now + 5*sec}, PartArrived{ID: "p", Number: n, Weight: 1}}
		for _, act := range old.Step(now, events) {
			if send, ok := act.(Send); ok { // r3 fails each time
				out := Served
				if send.Replica == "r3" {
					out = Errored
				}
				now += 10 * ms
				old.Step(now, []Event{AttemptEnded{Part: send.Part, Replica: send.Replica, Outcome: out, Took: 10 * ms}, QueryGone{ID: "q"}})
			}
		}
	}
	m := old.Recall()
	if !old.byID["r3"].suspect || m.Warm == 0 || len(m.Classes[0].Seen) == 0 {
		t.Fatalf("nothing was learned: %+v", m)
	}
	data, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	var again Memory
	if err := json.Unmarshal(data, &again); err != nil || !reflect.DeepEqual(again, m) {
		t.Fatalf("%v: %s", err, data)
	}

	list.Replicas[0].Since = 90 * sec // restarted
	fresh := learn(2)
	fresh.Remember(again)
	got := fresh.Recall()
	got.At = m.At
	if !reflect.DeepEqual(got.Classes, m.Classes) || got.Warm != m.Warm || got.Refills != m.Refills || !reflect.DeepEqual(got.Shards, m.Shards) ||
		!reflect.DeepEqual(got.Replicas[1:], m.Replicas[1:]) {
		t.Errorf("recalled\n%+v, remembered\n%+v", got, m)
	}
	if r := fresh.byID["r1"]; r.coldFrom != 90*sec || r.lastOK != 0 {
		t.Errorf("a replica that was started anew is known as it was: %+v", r)
	}

	again.Classes[0].Base, again.Warm, again.Replicas[1].Ratio, again.Replicas[2].Barred = -1, -1, 0, nil
	doubtful := learn(3)
	doubtful.Remember(again)
	if r := doubtful.byID["r3"]; doubtful.byClass["c"].base <= 0 || doubtful.warmRate < 0 || doubtful.byID["r2"].ratio == 0 || r.suspect || len(r.barred) != 2 {
		t.Error("figures that cannot be were taken over")
	}
	doubtful.Step(101*sec, nil)
}
