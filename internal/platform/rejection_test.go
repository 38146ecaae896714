package platform

import (
	"fmt"
	"testing"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/overload"
	"harepass/internal/decide/scatter"
)

// noGate refuses all.
type noGate struct{ refuse bool }

func (g noGate) Admit(overload.Arrival) (bool, time.Duration) { return !g.refuse, time.Second }
func (noGate) ObserveTick(core.Tick)                          {}
func (noGate) QueryDone(int)                                  {}

// echo is a Caller that serves everything at once.
type echo struct{ o *core.Coordinator }

func (e *echo) Call(_ core.Endpoint, list []*core.Attempt) {
	go func() { // the owner must not be called from within
		for _, at := range list {
			e.o.AttemptEnded(at, scatter.Succeeded, []byte("5be2a07c19f04d63"))
		}
	}()
}
func (*echo) Cancel(*core.Attempt)        {}
func (*echo) CloseIdleConnections(string) {}

func front(b testing.TB, refuse bool) *Front {
	e := &echo{}
	clock := core.SystemClock()
	settings := scatter.Settings{
		Coordinators: 1, RingSize: 1, ReplicationFactor: 1, PartsPerCall: 1, MaxAttempts: 3, Cancellation: true,
		TickInterval: time.Millisecond, RetryAfter: time.Second,
		Classes: []scatter.Class{{Name: "c", LatencyObjective: time.Second, Deadline: 3 * time.Second,
			PriorityWeight: 1, LateWeight: 0.5, CompleteFraction: 1, MinFraction: 1}},
	}
	o, err := core.New(core.Config{Seed: 1, PolledSource: "test", Clock: clock, Subscribe: func() {},
		Callers: map[string]core.Caller{"echo": e}, Admitter: noGate{refuse}, Settings: settings})
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

// What the gate refuses is refused before its body is read: spoilt as it is, that is not looked at.
func TestRefusedByItsHead(t *testing.T) {
	message := request("POST", "/api", "{", "X-Call-Id", "q", "X-Call-Class", "c", "X-Budget", "3000m")
	m := front(t, true).Handle(message, nil)
	if m.Status != 429 || m.Header.Get("Retry-After") != "1" {
		t.Errorf("%d %v", m.Status, m.Header)
	}
	if status := handle(front(t, false), 1); status != 200 {
		t.Errorf("%d where the gate lets in", status)
	}
}

// A refusal has to cost less than a tenth of a served query: compare allocations and time of these two.
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
