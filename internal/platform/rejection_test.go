package platform

import (
	"fmt"
	"testing"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/overload"
	"harepass/internal/decide/scatter"
)

// fixedAdmitter admits all queries or, if reject is set, none.
type fixedAdmitter struct{ reject bool }

func (g fixedAdmitter) Admit(overload.Arrival) (bool, time.Duration) { return !g.reject, time.Second }
func (fixedAdmitter) ObserveTick(core.Tick)                          {}
func (fixedAdmitter) QueryDone(int)                                  {}

// echo is a Caller whose attempts all succeed at once.
type echo struct{ o *core.Coordinator }

func (e *echo) Call(_ core.Endpoint, list []*core.Attempt) {
	go func() { // Call must not call back into the Coordinator itself
		for _, at := range list {
			e.o.AttemptEnded(at, scatter.Succeeded, []byte("5be2a07c19f04d63"))
		}
	}()
}
func (*echo) Cancel(*core.Attempt)        {}
func (*echo) CloseIdleConnections(string) {}

func front(b testing.TB, reject bool) *Front {
	e := &echo{}
	clock := core.SystemClock()
	settings := scatter.Settings{
		Coordinators: 1, RingSize: 1, ReplicationFactor: 1, PartsPerCall: 1, MaxAttempts: 3, Cancellation: true,
		TickInterval: time.Millisecond, RetryAfter: time.Second,
		Classes: []scatter.Class{{Name: "c", LatencyObjective: time.Second, Deadline: 3 * time.Second,
			PriorityWeight: 1, LateWeight: 0.5, CompleteFraction: 1, MinFraction: 1}},
	}
	o, err := core.New(core.Config{Seed: 1, PolledSource: "test", Clock: clock, Subscribe: func() {},
		Callers: map[string]core.Caller{"echo": e}, Admitter: fixedAdmitter{reject}, Settings: settings})
	if err != nil {
		b.Fatal(err)
	}
	e.o = o
	go o.Run()
	b.Cleanup(o.Stop)
	o.UpdateEndpoints("test", scatter.FullUpdate, []core.Endpoint{
		{Replica: scatter.Replica{ID: "a"}, Address: "a", Scheme: "echo"},
		{Replica: scatter.Replica{ID: "b"}, Address: "b", Scheme: "echo"},
	})
	<-o.Started()
	return &Front{Coordinator: o, Clock: clock}
}

func handle(f *Front, i int) int {
	body := `{"slices":[{"slice":1,"mass":0.25},{"slice":2,"mass":0.25},{"slice":3,"mass":0.25},{"slice":4,"mass":0.25}],"filter":"c41e77d0"}`
	message := request("POST", "/api", body, "X-Call-Id", fmt.Sprint("q", i), "X-Call-Class", "c", "X-Budget", "3000m")
	return f.Handle(message, nil).Status
}

// A query that the Admitter rejects is rejected before its body is parsed, even if the body is malformed.
func TestRefusedByItsHead(t *testing.T) {
	message := request("POST", "/api", "{", "X-Call-Id", "q", "X-Call-Class", "c", "X-Budget", "3000m")
	m := front(t, true).Handle(message, nil)
	if m.Status != 429 || m.Header.Get("Retry-After") != "1" {
		t.Errorf("answer %d %v, want 429 with Retry-After 1", m.Status, m.Header)
	}
	if status := handle(front(t, false), 1); status != 200 {
		t.Errorf("status %d for an admitted query, want 200", status)
	}
}

// BenchmarkServed and BenchmarkRefused compare a served query and a rejected one. A rejection has to cost less than a
// tenth of a served query, in allocations and in time.
func BenchmarkServed(b *testing.B) {
	f := front(b, false)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if status := handle(f, i); status != 200 {
			b.Fatal(status)
		}
	}
}

func BenchmarkRefused(b *testing.B) {
	f := front(b, true)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if status := handle(f, i); status != 429 {
			b.Fatal(status)
		}
	}
}
