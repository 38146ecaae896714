package scatter

import (
	"fmt"
	"testing"
)

// BenchmarkStep measures a step at full size, for a coordinator that has learned nothing yet.
func BenchmarkStep(b *testing.B) {
	s := base()
	s.Coordinators, s.RingSize, s.ReplicationFactor, s.PartsPerCall = 90, 150, 4, 8
	m, err := New(1, s)
	if err != nil {
		b.Fatal(err)
	}
	list := EndpointUpdate{Kind: FullUpdate}
	for i := range 150 {
		list.Replicas = append(list.Replicas, Replica{ID: fmt.Sprint("r", i), RingPosition: i})
	}
	now := 100 * sec
	m.Step(now, []Event{list})
	for i := range int64(b.N) {
		events := []Event{QueryArrived{ID: fmt.Sprint(i), Number: i, Class: "c", Parts: 40, Expires: now + 6*sec}}
		for k := range 40 {
			shard := (int(i)*7 + k) % 300
			events = append(events, PartArrived{ID: fmt.Sprint(i, ".", k), Number: i, Shard: shard, Weight: 0.025})
		}
		now += 300 * ms
		var done []Event
		for _, x := range of[Send](m.Step(now, events)) {
			done = append(done, ended(x.Part, 0, x.Replica, Succeeded, 100*ms))
		}
		now += 100 * ms
		m.Step(now, done)
	}
}
