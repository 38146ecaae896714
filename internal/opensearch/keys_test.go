package opensearch_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
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

const key = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"

// keyedWorld is a coordinator with both fronts before two nodes of one kind that hold all, on real sockets. Its classes
// are one of each kind: free, keyed and once.
type keyedWorld struct {
	*testing.T
	owner *core.Coordinator
	fleet *fake.Fleet
	nodes []core.Endpoint
	slow  *slow
	front map[string]string                                                    // addresses, by the protocol's Scheme
	dial  func(ctx context.Context, network, address string) (net.Conn, error) // of the clients; nil for plain TCP

	mu    sync.Mutex
	heard map[string]bool // the ids of the requests that a front has read
}

// frontIdle is how long a front waits, from the accepting, for the first byte of a connection.
const frontIdle = 2200 * ms

// hear notes each request that a front reads.
func (w *keyedWorld) hear(handle http1.Handler) http1.Handler {
	return func(req *http1.Message, gone <-chan struct{}) *http1.Message {
		w.mu.Lock()
		w.heard[req.Header.Get("X-Call-Id")] = true
		w.mu.Unlock()
		return handle(req, gone)
	}
}

// crossed tells whether a request that was begun at a time and got no answer may have crossed the end of a connection that
// was closed for its silence: no front has read it, and so much time was over.
func (w *keyedWorld) crossed(id string, began time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.heard[id] && time.Since(began) >= frontIdle
}

func newKeyedWorld(t *testing.T, scheme string, script func(shard, try int) fake.Reply) *keyedWorld {
	class := func(name string, repeat scatter.Idempotency) scatter.Class {
		return scatter.Class{Name: name, LatencyObjective: 2 * time.Second, Deadline: 4 * time.Second, PriorityWeight: 1, LateWeight: 0.3,
			CompleteFraction: 1, MinFraction: 1, Idempotency: repeat, DedupWindow: 4 * time.Second}
	}
	s := scatter.Settings{Coordinators: 1, RingSize: 1, ReplicationFactor: 1, PartsPerCall: 1, TickInterval: 5 * ms, MaxAttempts: 3, Cancellation: true, Hedging: true,
		RetryAfter: time.Second, Classes: []scatter.Class{class("free", scatter.Idempotent), class("keyed", scatter.Keyed), class("once", scatter.NonIdempotent)}}
	c := &opensearch.Config{Listen: "front", SectionField: "section", All: "free", Indices: map[string]*opensearch.Index{
		"free": {Class: "free"}, "keyed": {Class: "keyed", Reports: true}, "lookup": {Class: "keyed"}, "once": {Class: "once", Reports: true}}}
	if err := c.Check(s, shards); err != nil {
		t.Fatal(err)
	}
	w := &keyedWorld{T: t, fleet: &fake.Fleet{Script: script}, front: map[string]string{}, heard: map[string]bool{},
		slow: &slow{held: map[string]chan struct{}{}, came: make(chan string, 100)}}
	frames := &platform.Caller{CallsPerConn: 32, ConnectTimeout: 20 * time.Second, ResponseTimeout: time.Second, KeepAlive: 30 * time.Second, Dial: w.slow.dial}
	calls := &opensearch.Caller{Config: c, ConnectTimeout: 20 * time.Second, KeepAlive: 30 * time.Second, Dial: w.slow.dial}
	clock := core.SystemClock()
	var err error
	w.owner, err = core.New(core.Config{Seed: 1, Settings: s, Clock: clock, Subscribe: func() {}, PolledSource: "test",
		Callers: map[string]core.Caller{platform.Scheme: frames, opensearch.Scheme: calls}})
	if err != nil {
		t.Fatal(err)
	}
	frames.Reporter, calls.Reporter = w.owner, w.owner
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		return l
	}
	for i := range 2 {
		l := listen()
		if scheme == platform.Scheme {
			go w.fleet.Frames(l)
		} else {
			go w.fleet.API(l)
		}
		w.nodes = append(w.nodes, core.Endpoint{Replica: scatter.Replica{ID: fmt.Sprint("n", i)}, Address: l.Addr().String(), Scheme: scheme})
	}
	for front, server := range map[string]*http1.Server{
		platform.Scheme:   {Handler: w.hear((&platform.Front{Coordinator: w.owner, Clock: clock}).Handle), Limits: http1.DefaultLimits},
		opensearch.Scheme: {Handler: w.hear((&opensearch.Front{Config: c, Coordinator: w.owner, Clock: clock}).Handle), ErrorAnswer: opensearch.ErrorResponse, Limits: http1.DefaultLimits},
	} {
		l := listen()
		w.front[front] = l.Addr().String()
		go server.Serve(l)
		t.Cleanup(func() { server.Shutdown() })
	}
	go w.owner.Run()
	w.owner.UpdateEndpoints("test", scatter.FullUpdate, w.nodes)
	t.Cleanup(func() {
		w.owner.Stop()
		frames.Close()
		calls.Close()
	})
	return w
}

// ask sends a query of one part to a front, on a connection of its own, with the keys that are given.
func (w *keyedWorld) ask(front, class string, keys ...string) (status int, answer string) {
	w.Helper()
	target, body := "/api", `{"slices":[{"slice":3,"mass":1}],"filter":"f"}`
	if front == opensearch.Scheme {
		target, body = "/"+class+"/_doc", `{"section":3,"pin":"x"}`
		if class == "free" || class == "lookup" {
			target, body = "/"+class+"/_search", `{"query":{"term":{"section":3}}}`
		}
	}
	return w.send(front, "POST", target, class, body, keys...)
}

// send asks as the protocol has its clients do: a request that crossed the end of a resting connection is sent once more,
// on a new one.
func (w *keyedWorld) send(front, method, target, class, body string, keys ...string) (status int, answer string) {
	w.Helper()
	id, began := fmt.Sprint(time.Now().UnixNano()), time.Now()
	res, err := w.sendOnce(id, front, method, target, class, body, keys)
	if err != nil && w.crossed(id, began) {
		res, err = w.sendOnce(id, front, method, target, class, body, keys)
	}
	if err != nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.Fatalf("%v after %v; a front has read it: %t", err, time.Since(began), w.heard[id])
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		w.Fatal(err)
	}
	return res.StatusCode, string(data)
}

// sendOnce sends a request on a connection of its own, which ends with the answer.
func (w *keyedWorld) sendOnce(id, front, method, target, class, body string, keys []string) (*http.Response, error) {
	w.Helper()
	req, err := http.NewRequest(method, "http://"+w.front[front]+target, strings.NewReader(body))
	if err != nil {
		w.Fatal(err)
	}
	req.Close = true
	req.Header = http.Header{"X-Call-Id": {id}, "X-Call-Class": {class}, "X-Budget": {"3900m"}}
	if keys != nil {
		req.Header[retry.IdempotencyKeyHeader] = keys
	}
	client := &http.Client{Transport: &http.Transport{DialContext: w.dial}, Timeout: 20 * time.Second}
	return client.Do(req)
}

// keysSeen are the keys that came with the attempts that reached nodes, in order; empty where none did.
func (w *keyedWorld) keysSeen() (keys []string) {
	for _, line := range w.fleet.Seen() {
		_, after, found := strings.Cut(line, " key=")
		if !found {
			_, after, _ = strings.Cut(line, ",k=")
		}
		k, _, _ := strings.Cut(after, " ")
		keys = append(keys, k)
	}
	return keys
}

// eachWay runs a test for queries of either front that go to either kind of node.
func eachWay(t *testing.T, run func(t *testing.T, front, scheme string)) {
	for _, front := range []string{platform.Scheme, opensearch.Scheme} {
		for _, scheme := range []string{platform.Scheme, opensearch.Scheme} {
			t.Run(front+" front, "+scheme+" nodes", func(t *testing.T) {
				t.Parallel()
				run(t, front, scheme)
			})
		}
	}
}

func good(status int) bool { return status == 200 || status == 201 }

// The key that a client gives a query of a keyed class goes to the node with every attempt, whatever the one before came
// to.
func TestKeyComesWithEveryAttempt(t *testing.T) {
	for name, tc := range map[string]struct {
		first    fake.Reply
		attempts int
	}{
		"served":      {fake.Reply{}, 1},
		"reset":       {fake.Reply{Kind: fake.Break}, 2},
		"error":       {fake.Reply{Kind: fake.Fail}, 2},
		"turned away": {fake.Reply{Kind: fake.Reject}, 2},
		"spoilt":      {fake.Reply{Kind: fake.Spoil}, 2},
		"silent":      {fake.Reply{Kind: fake.Silent}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			eachWay(t, func(t *testing.T, front, scheme string) {
				w := newKeyedWorld(t, scheme, func(_, try int) fake.Reply {
					if try == 0 {
						return tc.first
					}
					return fake.Reply{}
				})
				if status, answer := w.ask(front, "keyed", key); !good(status) {
					t.Errorf("%d %s", status, answer)
				}
				if got, want := w.keysSeen(), slices.Repeat([]string{key}, tc.attempts); !slices.Equal(got, want) {
					t.Errorf("attempts came with the keys %q, want %q", got, want)
				}
			})
		})
	}
}

// A part whose node leaves before its first byte is out goes to another one with the same key.
func TestKeyComesAlongWhenANodeLeaves(t *testing.T) {
	eachWay(t, func(t *testing.T, front, scheme string) {
		w := newKeyedWorld(t, scheme, nil)
		let := make(chan struct{})
		defer close(let)
		w.slow.mu.Lock()
		for _, n := range w.nodes {
			w.slow.held[n.Address] = let
		}
		w.slow.mu.Unlock()
		done := make(chan int)
		go func() {
			status, _ := w.ask(front, "keyed", key)
			done <- status
		}()
		address := <-w.slow.came
		leaving := slices.IndexFunc(w.nodes, func(n core.Endpoint) bool { return n.Address == address })
		w.slow.mu.Lock()
		delete(w.slow.held, w.nodes[1-leaving].Address)
		w.slow.mu.Unlock()
		n := w.nodes[leaving]
		n.State = scatter.Draining
		w.owner.UpdateEndpoints("test", scatter.IncrementalUpdate, []core.Endpoint{n})
		if status := <-done; !good(status) {
			t.Errorf("status %d", status)
		}
		if got := w.keysSeen(); !slices.Equal(got, []string{key}) {
			t.Errorf("attempts came with the keys %q", got)
		}
	})
}

// A client's own retry is a query of its own, with a new id: its key goes to the nodes as it did the first time.
func TestKeyOfAClientsRetry(t *testing.T) {
	eachWay(t, func(t *testing.T, front, scheme string) {
		w := newKeyedWorld(t, scheme, nil)
		for range 2 {
			if status, answer := w.ask(front, "keyed", key); !good(status) {
				t.Errorf("%d %s", status, answer)
			}
		}
		if got := w.keysSeen(); !slices.Equal(got, []string{key, key}) {
			t.Errorf("attempts came with the keys %q", got)
		}
		if seen := w.fleet.Seen(); seen[0] == seen[1] {
			t.Errorf("both attempts are %q", seen[0])
		}
	})
}

// Without a key that can be passed on as it is, a query of a keyed class is turned away at the front, with the header's
// name, and no node hears of it.
func TestBadKeys(t *testing.T) {
	eachWay(t, func(t *testing.T, front, scheme string) {
		w := newKeyedWorld(t, scheme, nil)
		for name, keys := range map[string][]string{"none": nil, "empty": {""}, "blank": {"  "}, "two": {key, key}, "two in a line": {key + ", " + key},
			"too long": {strings.Repeat("k", 129)}, "far too long": {strings.Repeat("k", 9000)}, "a list's comma": {"a,d=1"}, "a space": {"a b"},
			"quoted": {`"` + key + `"`}, "a tab": {"a\tb"}, "no ASCII": {"schlüssel"}, "no UTF-8": {"a\xff"}} {
			if status, answer := w.ask(front, "keyed", keys...); status != 400 || !strings.Contains(answer, retry.IdempotencyKeyHeader) {
				t.Errorf("%s: %d %s", name, status, answer)
			}
		}
		if front == opensearch.Scheme {
			if status, answer := w.ask(front, "lookup"); status != 400 || !strings.Contains(answer, retry.IdempotencyKeyHeader) {
				t.Errorf("a search in a keyed class without a key: %d %s", status, answer)
			}
		}
		if seen := w.fleet.Seen(); len(seen) > 0 {
			t.Errorf("nodes were asked %q", seen)
		}
	})
}

// Where the class is not keyed the header says nothing, be it ill-formed, and no node sees it.
func TestKeyOfAClassWithoutKeys(t *testing.T) {
	eachWay(t, func(t *testing.T, front, scheme string) {
		w := newKeyedWorld(t, scheme, nil)
		for _, class := range []string{"free", "once"} {
			for _, keys := range [][]string{nil, {key}, {""}, {"a,d=1"}, {key, key}} {
				if status, answer := w.ask(front, class, keys...); !good(status) {
					t.Errorf("%s %q: %d %s", class, keys, status, answer)
				}
			}
		}
		if got, want := w.keysSeen(), make([]string, 10); !slices.Equal(got, want) {
			t.Errorf("attempts came with the keys %q", got)
		}
	})
}

// A document's id goes to the node as its client gave it, with the key beside it.
func TestKeyBesideADocumentsID(t *testing.T) {
	w := newKeyedWorld(t, opensearch.Scheme, nil)
	for target, want := range map[string]string{"/keyed/_doc/claim-7": "PUT /keyed/_doc/claim-7?routing=3&", "/keyed/_create/claim-8": "PUT /keyed/_create/claim-8?routing=3&"} {
		status, answer := w.send(opensearch.Scheme, "PUT", target, "keyed", `{"section":3,"pin":"x"}`, key)
		seen := w.fleet.Seen()
		if last := seen[len(seen)-1]; status != 201 || !strings.HasPrefix(last, want) || !strings.HasSuffix(last, " key="+key) {
			t.Errorf("%s: %d %s; the node was asked %q", target, status, answer, last)
		}
	}
}

// lateConn is a client's end of a connection whose first bytes go out only when the server has closed its end.
type lateConn struct {
	net.Conn
	once, out sync.Once
	sent      chan struct{} // closed when they are out; reads wait for that
}

func (c *lateConn) Write(data []byte) (int, error) {
	c.once.Do(func() { c.Conn.Read(make([]byte, 1)) }) // its end
	n, err := c.Conn.Write(data)
	c.out.Do(func() { close(c.sent) })
	return n, err
}

func (c *lateConn) Read(data []byte) (int, error) {
	<-c.sent
	return c.Conn.Read(data)
}

// A request whose connection was closed for its silence while it was on the way is sent once more and runs once. That happens
// to these tests' clients where the machine gives them no time between the accepting and the first byte; here on purpose.
func TestRequestCrossesTheEndOfItsConnection(t *testing.T) {
	eachWay(t, func(t *testing.T, front, scheme string) {
		w := newKeyedWorld(t, scheme, nil)
		dials := 0
		w.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if dials++; dials > 1 || err != nil {
				return c, err
			}
			return &lateConn{Conn: c, sent: make(chan struct{})}, nil
		}
		if status, answer := w.ask(front, "keyed", key); !good(status) {
			t.Errorf("%d %s", status, answer)
		}
		if got := w.keysSeen(); dials != 2 || !slices.Equal(got, []string{key}) {
			t.Errorf("%d connections, attempts came with the keys %q", dials, got)
		}
	})
}
