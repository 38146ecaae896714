package opensearch_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/retry"
	"harepass/internal/decide/scatter"
	"harepass/internal/http1"
	"harepass/internal/opensearch"
	"harepass/internal/platform"
	"harepass/internal/test/fake"
)

// heldDialer opens connections to replicas on real sockets. A dial to a held address returns only after its release.
type heldDialer struct {
	mu      sync.Mutex
	release map[string]chan struct{} // by address, closed to release its dials; an address without an entry is not held
	dialed  chan string              // dialed addresses, in the order of the dials
}

func newHeldDialer() *heldDialer {
	return &heldDialer{release: map[string]chan struct{}{}, dialed: make(chan string, 100)}
}

func (d *heldDialer) dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	d.mu.Lock()
	release := d.release[address]
	d.mu.Unlock()
	if d.dialed <- address; release != nil {
		<-release
	}
	return c, err
}

// hold makes dials to an address wait until release is closed.
func (d *heldDialer) hold(address string, release chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.release[address] = release
}

// letThrough makes later dials to an address return without waiting.
func (d *heldDialer) letThrough(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.release, address)
}

// listenTCP listens on a free port until the test ends.
func listenTCP(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// bothFronts is a coordinator with both fronts and two replicas of one scheme that hold all shards, on real sockets. It
// has a class of each kind: free (idempotent), keyed and once (non-idempotent).
type bothFronts struct {
	*testing.T
	coordinator *core.Coordinator
	fleet       *fake.Replicas
	endpoints   []core.Endpoint
	dialer      *heldDialer       // dials the replicas
	front       map[string]string // address of each front, by the Scheme of its protocol
	// dialFront opens clients' connections to a front; nil for plain TCP.
	dialFront func(ctx context.Context, network, address string) (net.Conn, error)

	mu   sync.Mutex
	read map[string]bool // ids of the requests that a front has read
}

// frontIdleTimeout is how long a front waits for the first byte of a connection after accepting it.
const frontIdleTimeout = 2200 * ms

// recordRead wraps a handler to record the id of each request that a front has read.
func (fx *bothFronts) recordRead(handle http1.Handler) http1.Handler {
	return func(req *http1.Message, clientLeft <-chan struct{}) *http1.Message {
		fx.mu.Lock()
		fx.read[req.Header.Get("X-Call-Id")] = true
		fx.mu.Unlock()
		return handle(req, clientLeft)
	}
}

// mayHaveCrossedClose reports whether a request that was started at an instant and got no answer may have crossed the
// close of an idle connection: no front has read it, and the idle timeout has passed.
func (fx *bothFronts) mayHaveCrossedClose(id string, startedAt time.Time) bool {
	fx.mu.Lock()
	defer fx.mu.Unlock()
	return !fx.read[id] && time.Since(startedAt) >= frontIdleTimeout
}

// bothFrontsSettings has a class for each kind of idempotency.
func bothFrontsSettings() scatter.Settings {
	class := func(name string, idempotency scatter.Idempotency) scatter.Class {
		return scatter.Class{
			Name:             name,
			LatencyObjective: 2 * time.Second,
			Deadline:         4 * time.Second,
			PriorityWeight:   1,
			LateWeight:       0.3,
			CompleteFraction: 1,
			MinFraction:      1,
			Idempotency:      idempotency,
			DedupWindow:      4 * time.Second,
		}
	}
	return scatter.Settings{
		Coordinators:      1,
		RingSize:          1,
		ReplicationFactor: 1,
		PartsPerCall:      1,
		TickInterval:      5 * ms,
		MaxAttempts:       3,
		Cancellation:      true,
		Hedging:           true,
		RetryAfter:        time.Second,
		Classes: []scatter.Class{
			class("free", scatter.Idempotent), class("keyed", scatter.Keyed), class("once", scatter.NonIdempotent)},
	}
}

func newBothFronts(t *testing.T, scheme string, script func(shard, try int) fake.Reply) *bothFronts {
	s := bothFrontsSettings()
	c := checkedConfig(t, s, "free", map[string]*opensearch.Index{"free": {Class: "free"},
		"keyed": {Class: "keyed", TakesDocuments: true}, "lookup": {Class: "keyed"},
		"once": {Class: "once", TakesDocuments: true}})
	fx := &bothFronts{T: t, fleet: &fake.Replicas{Script: script}, dialer: newHeldDialer(), front: map[string]string{},
		read: map[string]bool{}}
	calls := newCallers(c, 20*time.Second, time.Second, fx.dialer.dial)
	clock := core.SystemClock()
	fx.coordinator = calls.newCoordinator(t, s, core.Limits{}, clock)
	for i := range 2 {
		l := listenTCP(t)
		go serveReplica(fx.fleet, scheme, l)
		replica := scatter.Replica{ID: fmt.Sprint("n", i)}
		fx.endpoints = append(fx.endpoints, core.Endpoint{Replica: replica, Address: l.Addr().String(), Scheme: scheme})
	}
	platformFront := &platform.Front{Coordinator: fx.coordinator, Clock: clock}
	apiFront := &opensearch.Front{Config: c, Coordinator: fx.coordinator, Clock: clock}
	for front, server := range map[string]*http1.Server{
		platform.Scheme: {Handler: fx.recordRead(platformFront.Handle), Limits: http1.DefaultLimits},
		opensearch.Scheme: {Handler: fx.recordRead(apiFront.Handle), ErrorAnswer: opensearch.ErrorResponse,
			Limits: http1.DefaultLimits},
	} {
		l := listenTCP(t)
		fx.front[front] = l.Addr().String()
		go server.Serve(l)
		t.Cleanup(func() { server.Shutdown() })
	}
	go fx.coordinator.Run()
	fx.coordinator.UpdateEndpoints("test", scatter.FullUpdate, fx.endpoints)
	t.Cleanup(func() {
		fx.coordinator.Stop()
		calls.close()
	})
	return fx
}

// query sends a query of one part to a front, on a connection of its own, with the given idempotency keys.
func (fx *bothFronts) query(front, class string, keys ...string) (status int, answer string) {
	fx.Helper()
	target, body := "/api", `{"slices":[{"slice":3,"mass":1}],"filter":"f"}`
	if front == opensearch.Scheme {
		target, body = "/"+class+"/_doc", `{"section":3,"pin":"x"}`
		if class == "free" || class == "lookup" {
			target, body = "/"+class+"/_search", `{"query":{"term":{"section":3}}}`
		}
	}
	return fx.send(front, "POST", target, class, body, keys...)
}

// send sends a request as the protocol requires of its clients: a request that crossed the close of an idle connection
// is sent once more, on a new connection.
func (fx *bothFronts) send(front, method, target, class, body string, keys ...string) (status int, answer string) {
	fx.Helper()
	id, startedAt := fmt.Sprint(time.Now().UnixNano()), time.Now()
	res, err := fx.sendOnce(id, front, method, target, class, body, keys)
	if err != nil && fx.mayHaveCrossedClose(id, startedAt) {
		res, err = fx.sendOnce(id, front, method, target, class, body, keys)
	}
	if err != nil {
		fx.mu.Lock()
		defer fx.mu.Unlock()
		fx.Fatalf("request failed: %v after %v; read by a front: %t", err, time.Since(startedAt), fx.read[id])
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		fx.Fatal(err)
	}
	return res.StatusCode, string(data)
}

// sendOnce sends a request on a connection of its own, which is closed after the answer.
func (fx *bothFronts) sendOnce(id, front, method, target, class, body string, keys []string) (*http.Response, error) {
	fx.Helper()
	req, err := http.NewRequest(method, "http://"+fx.front[front]+target, strings.NewReader(body))
	if err != nil {
		fx.Fatal(err)
	}
	req.Close = true
	req.Header = http.Header{"X-Call-Id": {id}, "X-Call-Class": {class}, "X-Budget": {"3900m"}}
	if keys != nil {
		req.Header[retry.IdempotencyKeyHeader] = keys
	}
	client := &http.Client{Transport: &http.Transport{DialContext: fx.dialFront}, Timeout: 20 * time.Second}
	return client.Do(req)
}

// keysAtReplicas returns the idempotency keys of the attempts that replicas received, in order; empty for an attempt
// without a key.
func (fx *bothFronts) keysAtReplicas() (keys []string) {
	for _, line := range fx.fleet.Received() {
		_, after, found := strings.Cut(line, " key=")
		if !found {
			_, after, _ = strings.Cut(line, ",k=")
		}
		k, _, _ := strings.Cut(after, " ")
		keys = append(keys, k)
	}
	return keys
}

// forEachFrontAndScheme runs a test for queries through each front to replicas of each scheme.
func forEachFrontAndScheme(t *testing.T, run func(t *testing.T, front, scheme string)) {
	for _, front := range []string{platform.Scheme, opensearch.Scheme} {
		for _, scheme := range []string{platform.Scheme, opensearch.Scheme} {
			t.Run(front+" front, "+scheme+" replicas", func(t *testing.T) {
				t.Parallel()
				run(t, front, scheme)
			})
		}
	}
}

// succeeded reports whether a status is that of a served query.
func succeeded(status int) bool { return status == 200 || status == 201 }
