package platform

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing/synctest"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/backoff"
	"harepass/internal/decide/scatter"
	"harepass/internal/test/fake"
)

// listUpdate is an update of the endpoint list, as Listed receives it.
type listUpdate struct {
	kind      scatter.UpdateKind
	endpoints int
}

// failedPoll is the update that reports a failed poll.
var failedPoll = listUpdate{kind: scatter.FailedUpdate}

// discoveryFixture is a Discovery on an in-memory network, with the updates that it reported.
type discoveryFixture struct {
	*Discovery
	memory  fake.Network
	servers []*http.Server
	cancel  context.CancelFunc
	done    chan struct{} // closed when Run has returned

	mu      sync.Mutex // guards updates
	updates []listUpdate
}

// newDiscoveryFixture returns a Discovery for an address, whose coordinator has the known list.
func newDiscoveryFixture(address string, known List) *discoveryFixture {
	fx := &discoveryFixture{Discovery: NewDiscovery(address, known), done: make(chan struct{})}
	fx.Dial = fx.memory.Dial
	fx.Listed = func(kind scatter.UpdateKind, endpoints []core.Endpoint) {
		fx.mu.Lock()
		defer fx.mu.Unlock()
		fx.updates = append(fx.updates, listUpdate{kind, len(endpoints)})
	}
	return fx
}

// serve serves a discovery service at an address until close.
func (fx *discoveryFixture) serve(address string, handle http.HandlerFunc) *http.Server {
	server := &http.Server{Handler: handle}
	fx.servers = append(fx.servers, server)
	go server.Serve(fx.memory.Listen(address))
	return server
}

// start starts Run.
func (fx *discoveryFixture) start() {
	ctx, cancel := context.WithCancel(context.Background())
	fx.cancel = cancel
	go func() {
		fx.Run(ctx)
		close(fx.done)
	}()
}

// close ends Run, waits for it, and closes the services.
func (fx *discoveryFixture) close() {
	fx.cancel()
	<-fx.done
	for _, s := range fx.servers {
		s.Close()
	}
}

// takeUpdates waits until all goroutines are blocked, and returns the updates since the last call.
func (fx *discoveryFixture) takeUpdates() []listUpdate {
	synctest.Wait()
	fx.mu.Lock()
	defer fx.mu.Unlock()
	updates := fx.updates
	fx.updates = nil
	return updates
}

// requestLog records the polls that a service receives. Polls may arrive while the test reads it.
type requestLog struct {
	mu      sync.Mutex
	targets []string
	at      []time.Time
}

// add records a poll and returns the number of polls.
func (l *requestLog) add(target string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.targets, l.at = append(l.targets, target), append(l.at, time.Now())
	return len(l.targets)
}

// all returns the targets of the polls and their arrival times.
func (l *requestLog) all() (targets []string, at []time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.targets, l.at
}

// fleetSchedule returns the schedule of a coordinator in a fleet of 6, 14 or 22, depending on the seed.
func fleetSchedule(seed uint64) *backoff.Schedule {
	return &backoff.Schedule{FleetSize: 6 + int(seed%3)*8, ListMaxAge: 10 * time.Second,
		Rand: rand.New(rand.NewPCG(seed, 1))}
}

// readyList returns a list of index 7 whose only endpoint, a, is Ready.
func readyList() List {
	return List{Index: 7, Endpoints: []Endpoint{{Name: "a", Address: "a:1", Status: "in_service"}}}
}

// watchHoldMillis is the value of the parameter hold_ms of a watch.
var watchHoldMillis = fmt.Sprint(backoff.WatchHold.Milliseconds())

// isWatch reports whether a poll is a watch.
func isWatch(r *http.Request) bool { return r.URL.Query().Get("hold_ms") == watchHoldMillis }

// The handlers below are the ways in which a service fails to answer.

func neverAnswers(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func resets(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func answersUnreadably(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "{") }

func answersWithoutEnd(w http.ResponseWriter, r *http.Request) {
	io.WriteString(w, "{")
	w.(http.Flusher).Flush()
	<-r.Context().Done()
}

// unavailableAfter answers 503 after a delay.
func unavailableAfter(delay time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(delay)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
