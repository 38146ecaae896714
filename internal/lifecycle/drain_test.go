package lifecycle

import (
	"context"
	"fmt"
	"net/textproto"
	"testing"
	"testing/synctest"
	"time"

	"harepass/internal/config"
	"harepass/internal/core"
	"harepass/internal/decide/scatter"
	"harepass/internal/http1"
	"harepass/internal/platform"
	"harepass/internal/test/fake"
)

// newDrainTestProcess returns a running process with one in-memory front at the address "c" and one class, whose shard
// no replica holds.
func newDrainTestProcess(t *testing.T, memory *fake.Network) *process {
	settings := scatter.Settings{Coordinators: 1, RingSize: 1, ReplicationFactor: 1, PartsPerCall: 1, MaxAttempts: 1,
		Classes: []scatter.Class{{Name: "c", LatencyObjective: time.Second, Deadline: time.Second,
			CompleteFraction: 1, MinFraction: 1}}}
	p := &process{Config: &config.Config{Settings: settings}, clock: core.SystemClock()}
	limits := core.Limits{DrainTimeout: newDrainSchedule(settings.Classes).lastAnswerAfter}
	var err error
	p.coordinator, err = core.New(core.Config{Settings: settings, Clock: p.clock, Subscribe: func() {}, Limits: limits})
	if err != nil {
		t.Fatal(err)
	}
	go p.coordinator.Run()
	l := memory.Listen("c")
	handler := &platform.Front{Coordinator: p.coordinator, Clock: p.clock}
	s := &http1.Server{Handler: handler.Handle, Limits: http1.DefaultLimits}
	go s.Serve(l)
	p.fronts = []front{{l, s}}
	return p
}

// While a coordinator drains, others may not be ready yet, so its clients go on using their connections. A connection
// that closes while a request is open loses the request. So a connection is closed only with an answer that is sent
// after the listener has closed or, later, if it has no open request.
func TestDrainKeepsConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var memory fake.Network
		p := newDrainTestProcess(t, &memory)
		dial := func() *http1.Client {
			return &http1.Client{Address: "c", Dial: memory.Dial, Limits: http1.DefaultLimits}
		}
		id := 0
		ask := func(c *http1.Client) string { // no replica holds the shard: the query is rejected at its deadline
			id++
			a, _, err := c.Do(context.Background(), &http1.Message{Method: "POST", Target: "/api",
				Body: []byte(`{"slices":[{"slice":0,"mass":1}],"filter":""}`),
				Header: textproto.MIMEHeader{"X-Call-Id": {fmt.Sprint(id)}, "X-Call-Class": {"c"},
					"X-Budget": {"50m"}}})
			if err != nil {
				return "none"
			}
			return fmt.Sprint(a.Status, " ", a.Close)
		}
		used, idle := dial(), dial()
		ask(used)
		ask(idle)
		began := time.Now()
		ended := make(chan struct{})
		go func() { p.drain(); close(ended) }()
		time.Sleep(time.Millisecond)
		got := []string{ask(used), ask(used), ask(dial())}
		time.Sleep(AcceptAfterTerm - time.Since(began) + time.Millisecond)
		got = append(got, ask(used), ask(used), ask(dial()))
		<-ended
		got = append(got, ask(idle))
		if want := "[429 false 429 false 429 false 429 true none none none]"; fmt.Sprint(got) != want {
			t.Errorf("status and connection close of each answer: %v, want %s", got, want)
		}
		if took := time.Since(began); took != AcceptAfterTerm+MaxCloseIdleDelay {
			t.Errorf("drain took %v, want AcceptAfterTerm+MaxCloseIdleDelay", took)
		}
	})
}

// A query that is still open when the platform kills the process is lost. The platform kills 0.7 s plus the longest
// deadline after SIGTERM, and at the latest 3.7 s after SIGTERM. The last answer must be due before the kill, and idle
// connections must close before the last answer is due, even with short deadlines.
func TestDrainEndsBeforeTheKill(t *testing.T) {
	for _, longest := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond,
		time.Second, 3 * time.Second, 8 * time.Second} {
		schedule := newDrainSchedule([]scatter.Class{{Deadline: longest / 2}, {Deadline: longest}})
		kill := AcceptAfterTerm + min(longest, 3*time.Second)
		closeIdle, lastAnswer := schedule.closeIdleAfter, schedule.lastAnswerAfter
		if closeIdle < AcceptAfterTerm || closeIdle >= lastAnswer || lastAnswer >= kill {
			t.Errorf("longest deadline %v: idle connections close at %v, last answer due by %v, kill at %v",
				longest, closeIdle, lastAnswer, kill)
		}
	}
}
