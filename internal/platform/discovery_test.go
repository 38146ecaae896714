package platform

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/backoff"
	"harepass/internal/decide/scatter"
	"harepass/internal/test/fake"
)

// A subscription begins with the whole list and goes on with watches, each begun as soon as the one before has been
// answered; its end is told once for each call that fails, and the next one begins by itself, with what is new.
func TestSubscription(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var memory fake.Network
		l := memory.Listen("d")
		var down, silent atomic.Bool
		var mu sync.Mutex // calls go on while the test looks
		var calls []string
		var asked []time.Time
		var told []string
		served := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			calls, asked = append(calls, r.URL.RequestURI()), append(asked, time.Now())
			version := 40 + len(calls)
			mu.Unlock()
			if down.Load() {
				w.WriteHeader(503)
				return
			}
			if silent.Load() {
				<-r.Context().Done()
				return
			}
			if r.URL.Query().Get("hold_ms") == "1000" {
				time.Sleep(800 * time.Millisecond)
			}
			fmt.Fprintf(w, `{"index":%d,"snapshot":%t,"endpoints":[{"name":"a","address":"a:1","group":1,"status":"in_service"}]}`,
				version, !r.URL.Query().Has("from"))
		})}
		go served.Serve(l)
		d := NewDiscovery("d", List{})
		d.Dial = memory.Dial
		d.Listed = func(scope scatter.UpdateKind, nodes []core.Endpoint) {
			mu.Lock()
			defer mu.Unlock()
			told = append(told, fmt.Sprintf("%d:%d", scope, len(nodes)))
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { d.Run(ctx); close(done) }()
		pass := func(d time.Duration) { // the test has the lock but for here
			mu.Unlock()
			time.Sleep(d)
			synctest.Wait()
			mu.Lock()
		}
		mu.Lock()
		pass(time.Second)
		if len(calls) > 0 {
			t.Error("it asks without being asked to")
		}
		began := time.Now()
		d.Subscribe()
		pass(2000 * time.Millisecond)
		d.Subscribe() // one stands: nothing more happens
		down.Store(true)
		pass(300 * time.Millisecond) // the third watch is answered still, the fourth is lost, and so are the calls after it
		want := []string{"/registry/instances", "/registry/instances?from=41&hold_ms=1000",
			"/registry/instances?from=42&hold_ms=1000", "/registry/instances?from=43&hold_ms=1000"}
		if fmt.Sprint(calls) != fmt.Sprint(want) {
			t.Errorf("calls %v, want %v", calls, want)
		}
		if fmt.Sprint(told) != "[1:1 0:1 0:1]" {
			t.Errorf("told %v", told)
		}
		if late := asked[2].Sub(began) - 800*time.Millisecond; late != 0 {
			t.Errorf("the watch was renewed after %v", late)
		}
		pass(4 * time.Second)
		failed := len(calls) - 5 // the fifth is the watch that met the 503; the others ask what is new
		for _, c := range calls[5:] {
			if c != "/registry/instances?from=44&hold_ms=1" {
				t.Errorf("after the watch: call %s", c)
			}
		}
		if failed < 2 || failed > 20 || len(told) != 4+failed || told[4] != "3:0" {
			t.Errorf("%d calls failed, told %v", failed, told)
		}
		down.Store(false)
		pass(time.Second)
		if last := told[len(told)-1]; last != "0:1" {
			t.Errorf("discovery is back and nobody knows: told %v", last)
		}
		silent.Store(true)
		before := len(told)
		pass(2*backoff.WatchHold + backoff.WatchSilence + backoff.CallTimeout/2) // the watch that stands is answered, the next one is silent
		if last := calls[len(calls)-1]; !strings.HasSuffix(last, "&hold_ms=1") || len(told) > before+1 {
			t.Errorf("a silent watch was followed by %s, told %v", last, told[before:])
		}
		mu.Unlock()
		cancel()
		<-done
		served.Close()
	})
}

// A move ends the watch at the old address and begins at the new one at once, with the whole list, for the
// index is another's. A new service that cannot be had is told like any other failure.
func TestMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var memory fake.Network
		var calls, told []string
		for _, name := range []string{"old", "new"} {
			served := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if calls = append(calls, name+r.URL.RequestURI()); r.URL.Query().Has("from") {
					<-r.Context().Done()
					return
				}
				fmt.Fprintf(w, `{"index":%d,"snapshot":true,"endpoints":[{"name":%q,"address":"a:1","status":"in_service"}]}`, len(name+name[:1])*7, name)
			})}
			go served.Serve(memory.Listen(name))
			defer served.Close()
		}
		d := NewDiscovery("old", List{})
		d.Dial = memory.Dial
		d.Listed = func(scope scatter.UpdateKind, nodes []core.Endpoint) {
			told = append(told, fmt.Sprint(scope))
			for _, n := range nodes {
				told = append(told, n.ID)
			}
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { d.Run(ctx); close(done) }()
		d.Subscribe()
		synctest.Wait()
		began := time.Now()
		d.SetAddress("nowhere") // overtaken before it is seen, or not: the last address counts
		d.SetAddress("new")
		synctest.Wait()
		if d.Subscribe(); time.Since(began) > 0 {
			t.Error("the move took its time")
		}
		want := "[old/registry/instances old/registry/instances?from=28&hold_ms=1000 new/registry/instances new/registry/instances?from=28&hold_ms=1000]"
		if fmt.Sprint(calls) != want || told[0] != "1" || told[1] != "old" || told[len(told)-1] != "new" {
			t.Errorf("calls %v, told %v", calls, told)
		}
		told = nil
		d.SetAddress("nowhere")
		synctest.Wait()
		if fmt.Sprint(told) != "[3]" {
			t.Errorf("no service there: told %v", told)
		}
		cancel()
		<-done
	})
}

// The list's body may be larger than a client's request.
func TestLongList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var memory fake.Network
		l := memory.Listen("d")
		served := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Query().Has("from") {
				<-r.Context().Done()
				return
			}
			io.WriteString(w, `{"snapshot":true,"endpoints":[`)
			for i := range 2000 {
				fmt.Fprintf(w, `{"name":"n%d","address":"a:1","status":"in_service"},`, i)
			}
			io.WriteString(w, `{"name":"last","address":"a:1","status":"in_service"}]}`)
		})}
		go served.Serve(l)
		d := NewDiscovery("d", List{})
		got := 0
		d.Dial = func(ctx context.Context, a string) (net.Conn, error) { return memory.Dial(ctx, a) }
		d.Listed = func(_ scatter.UpdateKind, nodes []core.Endpoint) { got = len(nodes) }
		ctx, cancel := context.WithCancel(context.Background())
		go d.Run(ctx)
		d.Subscribe()
		synctest.Wait()
		if got != 2001 {
			t.Errorf("%d nodes, want 2001", got)
		}
		cancel()
		synctest.Wait()
		served.Close()
	})
}

// A fleet that starts or loses its list in one instant asks with watches from the version that each has, which cost
// discovery little; only what cannot be used is followed by a call for the whole list, and none of it is taken over.
func TestWatchFromKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var memory fake.Network
		var calls []string
		answers := make(chan string, 8)
		served := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls = append(calls, r.URL.RequestURI())
			select {
			case a := <-answers:
				io.WriteString(w, a)
			case <-r.Context().Done():
			}
		})}
		go served.Serve(memory.Listen("d"))
		defer served.Close()
		d := NewDiscovery("d", List{Index: 7, Endpoints: []Endpoint{{Name: "a", Address: "a:1", Status: "in_service"}}})
		d.Dial = memory.Dial
		var told []string
		d.Listed = func(scope scatter.UpdateKind, nodes []core.Endpoint) {
			told = append(told, fmt.Sprintf("%d:%d", scope, len(nodes)))
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { d.Run(ctx); close(done) }()
		one := `"endpoints":[{"name":"b","address":"b:1","status":"in_service"}]}`
		from := func(index int) string { return fmt.Sprintf("/registry/instances?from=%d&hold_ms=1000", index) }
		renew := func() { // the calls that fail are made again by themselves, after a pause
			time.Sleep(backoff.MaxSpread)
			synctest.Wait()
		}
		for _, c := range []struct{ answer, next, told string }{
			{`{"index":9,` + one, from(9), "0:1"},
			{`not even JSON`, "/registry/instances", "3:0"},
			{`{"index":12,"snapshot":true,` + one, from(12), "1:1"},
			{`{"index":11,` + one, "/registry/instances", "3:0"}, // older than what it has
			{`{"index":3,"snapshot":true,` + one, from(3), "1:1"},
			{`{"index":4,"endpoints":[{"name":"c","status":"confused"}]}`, "/registry/instances", "3:0"},
		} {
			d.Subscribe()
			synctest.Wait()
			if len(calls) == 1 && calls[0] != "/registry/instances?from=7&hold_ms=1" {
				t.Errorf("the first call is %s", calls[0])
			}
			told = nil
			answers <- c.answer
			synctest.Wait()
			got := fmt.Sprint(told)
			if c.told == "3:0" {
				renew()
			}
			if got != "["+c.told+"]" || calls[len(calls)-1] != c.next {
				t.Errorf("after %s: told %v, next call %s", c.answer, told, calls[len(calls)-1])
			}
		}
		answers <- `{"index":5,"snapshot":true,` + one
		synctest.Wait()
		served.Close() // the subscription ends, with a version known: that of a service that is left
		renew()
		calls = nil
		again := &http.Server{Handler: served.Handler}
		go again.Serve(memory.Listen("elsewhere"))
		defer again.Close()
		d.SetAddress("elsewhere")
		synctest.Wait()
		if fmt.Sprint(calls) != "[/registry/instances]" {
			t.Errorf("moved without a subscription: calls %v", calls)
		}
		cancel()
		<-done
	})
}

// held is how long watches ask to be held.
var held = fmt.Sprint(backoff.WatchHold.Milliseconds())

// Whatever fails, a change is heard of before it counts as told: 6 s after discovery had it and could be reached.
// Each trouble begins with the change; the coordinator is one of a fleet that can be heard in the time. Seen on
// days of six coordinators: watches of 10 s that fell silent at 1 s, nodes that began to drain at 3.68 s and were
// heard of at 11.87 s, with turns of 0.15 to 0.29 s at 12.7 s; and, on a day of 273, watches asked for again up to
// 10 s after their silence had shown.
func TestToldInTime(t *testing.T) {
	const trouble = 9 * time.Second
	late := func(after time.Duration) func(http.ResponseWriter, *http.Request) {
		return func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(after)
			w.WriteHeader(503)
		}
	}
	silent := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	reset := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	for _, tc := range []struct {
		name  string
		watch func(http.ResponseWriter, *http.Request) // what becomes of the watch that stands at the change
		calls func(http.ResponseWriter, *http.Request) // and of calls while the trouble lasts; nil: they are answered
		turn  time.Duration                            // of a call that is answered
	}{
		{"a silent watch", silent, nil, 0},
		{"a silent watch, and turns that have to be waited for", silent, nil, 1900 * time.Millisecond},
		{"a reset watch", reset, nil, 1900 * time.Millisecond},
		{"down: answers at once", reset, late(0), 0},
		{"overbooked: fails after a second", reset, late(time.Second), 0},
		{"overbooked: fails after two", late(0), late(2 * time.Second), 0},
		{"cut off: no word", silent, silent, 0},
		{"spoilt answers", reset, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "{") }, 0},
		{"answers that never end", reset, func(w http.ResponseWriter, r *http.Request) {
			io.WriteString(w, "{")
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}, 0},
	} {
		for seed := range uint64(30) {
			synctest.Test(t, func(t *testing.T) {
				var memory fake.Network
				var changed, over atomic.Bool
				served := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					watch := r.URL.Query().Get("hold_ms") == held
					switch {
					case watch && !changed.Load():
						if time.Sleep(backoff.WatchHold); !changed.Load() {
							io.WriteString(w, `{"index":7,"endpoints":[]}`)
							return
						}
						tc.watch(w, r)
					case !over.Load() && tc.calls != nil && changed.Load():
						tc.calls(w, r)
					case changed.Load():
						time.Sleep(tc.turn)
						fmt.Fprintf(w, `{"index":8,"snapshot":%t,"endpoints":[{"name":"a","address":"a:1","status":"terminating"}]}`, !r.URL.Query().Has("from"))
					default:
						io.WriteString(w, `{"index":7,"endpoints":[]}`)
					}
				})}
				go served.Serve(memory.Listen("d"))
				defer served.Close()
				d := NewDiscovery("d", List{Index: 7, Endpoints: []Endpoint{{Name: "a", Address: "a:1", Status: "in_service"}}})
				d.Dial = memory.Dial
				d.Schedule = &backoff.Schedule{FleetSize: 6 + int(seed%3)*8, ListMaxAge: 10 * time.Second, Rand: rand.New(rand.NewPCG(seed, 1))}
				told := make(chan time.Time, 1)
				d.Listed = func(scope scatter.UpdateKind, nodes []core.Endpoint) {
					if len(nodes) == 1 && nodes[0].State == scatter.Draining {
						told <- time.Now()
					}
				}
				ctx, cancel := context.WithCancel(context.Background())
				done := make(chan struct{})
				go func() { d.Run(ctx); close(done) }()
				d.Subscribe()
				time.Sleep(10*time.Second + time.Duration(seed)*37*time.Millisecond)
				changed.Store(true)
				reachable := time.Now()
				if tc.calls != nil {
					time.Sleep(trouble + time.Duration(seed)*101*time.Millisecond)
					over.Store(true)
					reachable = time.Now()
				}
				if took := (<-told).Sub(reachable); took >= backoff.NotifiedAfter {
					t.Errorf("%s, seed %d: the drain was heard of %v after discovery had it and could be reached", tc.name, seed, took)
				}
				cancel()
				<-done
				time.Sleep(trouble) // whoever still answers late
			})
		}
	}
}

// What a discovery that a reload names has to tell binds 4 s after: though its first call is not answered, is
// refused or fails late, and at whatever moment of the subscription to the old one the move comes.
func TestMovedInTime(t *testing.T) {
	for name, first := range map[string]http.HandlerFunc{
		"silent": func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"late": func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(1400 * time.Millisecond)
			w.WriteHeader(503)
		},
		"refused": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) },
		"spoilt":  func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "{") },
	} {
		for seed := range uint64(20) {
			synctest.Test(t, func(t *testing.T) {
				var memory fake.Network
				var calls atomic.Int32
				old := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Query().Get("hold_ms") == held {
						time.Sleep(backoff.WatchHold)
					}
					io.WriteString(w, `{"index":7,"endpoints":[]}`)
				})}
				next := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					switch n := calls.Add(1); {
					case n == 1:
						first(w, r)
					case r.URL.Query().Has("from"):
						<-r.Context().Done()
					default:
						time.Sleep(1400 * time.Millisecond) // its turn
						io.WriteString(w, `{"index":3,"snapshot":true,"endpoints":[{"name":"a","address":"a:1","status":"terminating"}]}`)
					}
				})}
				go old.Serve(memory.Listen("old"))
				go next.Serve(memory.Listen("new"))
				d := NewDiscovery("old", List{Index: 7, Endpoints: []Endpoint{{Name: "a", Address: "a:1", Status: "in_service"}}})
				d.Dial = memory.Dial
				d.Schedule = &backoff.Schedule{FleetSize: 6 + int(seed%3)*8, ListMaxAge: 10 * time.Second, Rand: rand.New(rand.NewPCG(seed, 1))}
				told := make(chan time.Time, 9)
				d.Listed = func(_ scatter.UpdateKind, nodes []core.Endpoint) {
					if len(nodes) > 0 {
						told <- time.Now()
					}
				}
				ctx, cancel := context.WithCancel(context.Background())
				done := make(chan struct{})
				go func() { d.Run(ctx); close(done) }()
				d.Subscribe()
				time.Sleep(5*time.Second + time.Duration(seed)*53*time.Millisecond)
				began := time.Now()
				d.SetAddress("new")
				if took := (<-told).Sub(began); took >= backoff.NotifiedAfterReload {
					t.Errorf("%s, seed %d: heard of %v after the move", name, seed, took)
				}
				cancel()
				<-done
				old.Close()
				next.Close()
				time.Sleep(2 * time.Second)
			})
		}
	}
}
