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

// agent is what pushed lists come to: it answers at once with what it has, and says nothing while discovery is
// down, not to those either that have asked before.
type agent struct {
	changed atomic.Bool // it holds the news that the node drains
	down    atomic.Bool
	watches bool // a call waits until there is something newer
	calls   atomic.Int32
}

func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if a.calls.Add(1) > 1000 { // time stands still for a coordinator that asks without a pause
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

// What the agent holds counts as told at once, and a drain binds half a second later: a coordinator has it well
// before that, though discovery was down and neither the watch that stood then nor a call made meanwhile is ever
// answered.
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
					d.Listed = func(_ scatter.UpdateKind, nodes []core.Endpoint) {
						if len(nodes) == 1 && nodes[0].State == scatter.Draining {
							notified <- time.Now()
						}
					}
					ctx, cancel := context.WithCancel(context.Background())
					done := make(chan struct{})
					go func() { d.Run(ctx); close(done) }()
					d.Subscribe()
					time.Sleep(2*time.Second + time.Duration(i)*53*time.Millisecond)
					if n := a.calls.Load(); n > 75 {
						t.Errorf("%d calls in two to three seconds", n)
					}
					if down > 0 {
						a.down.Store(true)
						time.Sleep(down + time.Duration(i)*7*time.Millisecond)
					}
					a.changed.Store(true)
					a.down.Store(false)
					changed := time.Now()
					if took := (<-notified).Sub(changed); took > backoff.AgentNotifiedAfter {
						t.Errorf("down for %v, holds watches: %t, %d: the drain was heard of after %v", down, watches, i, took)
					}
					cancel()
					<-done
					served.Close()
				})
			}
		}
	}
}
