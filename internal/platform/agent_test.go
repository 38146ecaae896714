package platform

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/backoff"
	"harepass/internal/decide/scatter"
	"harepass/internal/test/fake"
)

// agent is a fake agent, to which discovery pushes the list. It answers at once with the list that it has. While
// discovery is down it answers nothing, not even the calls that it received before.
type agent struct {
	changed atomic.Bool // its list says that the replica drains
	down    atomic.Bool // discovery is down
	watches bool        // it holds a call until there is a newer list
	calls   atomic.Int32
}

func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if a.calls.Add(1) > 1000 { // the test's clock would not advance while a coordinator calls without a pause
		time.Sleep(time.Second)
	}
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	end := time.Now().Add(time.Duration(hold) * time.Millisecond)
	for a.watches && !a.changed.Load() && !a.down.Load() && time.Now().Before(end) {
		time.Sleep(time.Millisecond)
	}
	if a.down.Load() {
		<-r.Context().Done()
		return
	}
	if a.changed.Load() && r.URL.Query().Get("from") != "8" {
		io.WriteString(w, `{"index":8,"endpoints":[{"name":"a","address":"a:1","status":"terminating"}]}`)
		return
	}
	fmt.Fprintf(w, `{"index":%d,"endpoints":[]}`, map[bool]int{true: 8, false: 7}[a.changed.Load()])
}

// What the agent holds counts as notified at once, and a drain has to be obeyed half a second later. A coordinator has
// to learn of the drain well before that, even if discovery was down and neither the watch that was open then nor any
// call made during the outage is ever answered.
func TestAgentIsHeardInTime(t *testing.T) {
	for _, down := range []time.Duration{0, 5 * time.Millisecond, 3 * time.Second} {
		for _, watches := range []bool{true, false} {
			for i := range 20 {
				synctest.Test(t, func(t *testing.T) {
					var memory fake.Network
					a := &agent{watches: watches}
					served := &http.Server{Handler: a}
					go served.Serve(memory.Listen("d"))
					d := NewDiscovery("d", List{Index: 7, Endpoints: []Endpoint{{Name: "a", Address: "a:1", Status: "in_service"}}})
					d.Dial = memory.Dial
					d.Schedule = &backoff.Schedule{FleetSize: 3, UsesAgent: true, Rand: rand.New(rand.NewPCG(1, 1))}
					notified := make(chan time.Time, 1)
					d.Listed = func(_ scatter.UpdateKind, endpoints []core.Endpoint) {
						if len(endpoints) == 1 && endpoints[0].State == scatter.Draining {
							notified <- time.Now()
						}
					}
					ctx, cancel := context.WithCancel(context.Background())
					done := make(chan struct{})
					go func() { d.Run(ctx); close(done) }()
					d.Subscribe()
					time.Sleep(2*time.Second + time.Duration(i)*53*time.Millisecond)
					if n := a.calls.Load(); n > 75 {
						t.Errorf("%d calls in two to three seconds, want at most 75", n)
					}
					if down > 0 {
						a.down.Store(true)
						time.Sleep(down + time.Duration(i)*7*time.Millisecond)
					}
					a.changed.Store(true)
					a.down.Store(false)
					changed := time.Now()
					if took := (<-notified).Sub(changed); took > backoff.AgentNotifiedAfter {
						t.Errorf("down for %v, holds watches %t, run %d: drain after %v", down, watches, i, took)
					}
					cancel()
					<-done
					served.Close()
				})
			}
		}
	}
}
