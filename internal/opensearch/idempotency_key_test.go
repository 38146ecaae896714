package opensearch_test

import (
	"context"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"

	"harepass/internal/core"
	"harepass/internal/decide/retry"
	"harepass/internal/decide/scatter"
	"harepass/internal/opensearch"
	"harepass/internal/test/fake"
)

const key = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"

// The first attempt of a query of a keyed class ends in one of several ways; unless it was served, a second attempt
// follows. Both carry the client's key: otherwise a replica that ran the first attempt would also run the second.
func TestIdempotencyKeyOnEveryAttempt(t *testing.T) {
	for name, tc := range map[string]struct {
		first    fake.Reply
		attempts int
	}{
		"served":     {fake.Reply{}, 1},
		"reset":      {fake.Reply{Kind: fake.Disconnect}, 2},
		"error":      {fake.Reply{Kind: fake.Fail}, 2},
		"rejected":   {fake.Reply{Kind: fake.Reject}, 2},
		"unreadable": {fake.Reply{Kind: fake.Corrupt}, 2},
		"silent":     {fake.Reply{Kind: fake.NoReply}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			forEachFrontAndScheme(t, func(t *testing.T, front, scheme string) {
				fx := newBothFronts(t, scheme, func(_, try int) fake.Reply {
					if try == 0 {
						return tc.first
					}
					return fake.Reply{}
				})
				if status, answer := fx.query(front, "keyed", key); !succeeded(status) {
					t.Errorf("status %d, answer %s; want success", status, answer)
				}
				want := slices.Repeat([]string{key}, tc.attempts)
				if got := fx.keysAtReplicas(); !slices.Equal(got, want) {
					t.Errorf("replicas received attempts with keys %q, want %q", got, want)
				}
			})
		})
	}
}

// A replica drains while an attempt still waits for its connection. The part goes to the other replica with the
// client's key, and the draining replica receives nothing.
func TestIdempotencyKeyMovesToAnotherReplica(t *testing.T) {
	forEachFrontAndScheme(t, func(t *testing.T, front, scheme string) {
		fx := newBothFronts(t, scheme, nil)
		release := make(chan struct{})
		defer close(release)
		for _, e := range fx.endpoints {
			fx.dialer.hold(e.Address, release)
		}
		done := make(chan int)
		go func() {
			status, _ := fx.query(front, "keyed", key)
			done <- status
		}()
		// Dials to both replicas are held. The first dial stays held until the test ends; dials to the other replica
		// are then let through, so that it receives the part once the first replica drains.
		address := <-fx.dialer.dialed
		first := slices.IndexFunc(fx.endpoints, func(e core.Endpoint) bool { return e.Address == address })
		fx.dialer.letThrough(fx.endpoints[1-first].Address)
		drained := fx.endpoints[first]
		drained.State = scatter.Draining
		fx.coordinator.UpdateEndpoints("test", scatter.IncrementalUpdate, []core.Endpoint{drained})
		if status := <-done; !succeeded(status) {
			t.Errorf("status %d, want success", status)
		}
		if got := fx.keysAtReplicas(); !slices.Equal(got, []string{key}) {
			t.Errorf("replicas received attempts with keys %q, want the client's key once", got)
		}
	})
}

// A client's own retry is a separate query with a new id. The replicas receive its key as they did the first time, so
// that they can drop the repeat.
func TestIdempotencyKeyOfClientRetry(t *testing.T) {
	forEachFrontAndScheme(t, func(t *testing.T, front, scheme string) {
		fx := newBothFronts(t, scheme, nil)
		for range 2 {
			if status, answer := fx.query(front, "keyed", key); !succeeded(status) {
				t.Errorf("status %d, answer %s; want success", status, answer)
			}
		}
		if got := fx.keysAtReplicas(); !slices.Equal(got, []string{key, key}) {
			t.Errorf("replicas received attempts with keys %q, want the client's key twice", got)
		}
		if seen := fx.fleet.Received(); seen[0] == seen[1] {
			t.Errorf("both attempts are %q, want different ids", seen[0])
		}
	})
}

// invalidKeys are the values of the idempotency header that cannot be sent to a replica as they are.
var invalidKeys = map[string][]string{
	"none":           nil,
	"empty":          {""},
	"blank":          {"  "},
	"two":            {key, key},
	"two in a line":  {key + ", " + key},
	"too long":       {strings.Repeat("k", 129)},
	"far too long":   {strings.Repeat("k", 9000)},
	"a list's comma": {"a,d=1"},
	"a space":        {"a b"},
	"quoted":         {`"` + key + `"`},
	"a tab":          {"a\tb"},
	"no ASCII":       {"schlüssel"},
	"no UTF-8":       {"a\xff"},
}

// A query of a keyed class without a key that can be passed on as it is gets status 400 from the front, with the
// header's name, and does not reach any replica.
func TestInvalidIdempotencyKeyGetsBadRequest(t *testing.T) {
	forEachFrontAndScheme(t, func(t *testing.T, front, scheme string) {
		fx := newBothFronts(t, scheme, nil)
		for name, keys := range invalidKeys {
			status, answer := fx.query(front, "keyed", keys...)
			if status != 400 || !strings.Contains(answer, retry.IdempotencyKeyHeader) {
				t.Errorf("key %s: status %d, answer %s; want status 400 and the header's name", name, status, answer)
			}
		}
		if front == opensearch.Scheme {
			status, answer := fx.query(front, "lookup")
			if status != 400 || !strings.Contains(answer, retry.IdempotencyKeyHeader) {
				t.Errorf("search in a keyed class without a key: status %d, answer %s", status, answer)
			}
		}
		if seen := fx.fleet.Received(); len(seen) > 0 {
			t.Errorf("replicas received %q, want nothing", seen)
		}
	})
}

// In a class that is not keyed the front ignores the header, even with an invalid value, and no replica receives it.
func TestIdempotencyKeyIgnoredInOtherClasses(t *testing.T) {
	forEachFrontAndScheme(t, func(t *testing.T, front, scheme string) {
		fx := newBothFronts(t, scheme, nil)
		for _, class := range []string{"free", "once"} {
			for _, keys := range [][]string{nil, {key}, {""}, {"a,d=1"}, {key, key}} {
				if status, answer := fx.query(front, class, keys...); !succeeded(status) {
					t.Errorf("class %s, keys %q: status %d, answer %s; want success", class, keys, status, answer)
				}
			}
		}
		if got, want := fx.keysAtReplicas(), make([]string, 10); !slices.Equal(got, want) {
			t.Errorf("replicas received attempts with keys %q, want none", got)
		}
	})
}

// The replica receives a document's id as the client gave it, together with the key.
func TestIdempotencyKeyBesideDocumentID(t *testing.T) {
	fx := newBothFronts(t, opensearch.Scheme, nil)
	for target, want := range map[string]string{
		"/keyed/_doc/claim-7":    "PUT /keyed/_doc/claim-7?routing=3&",
		"/keyed/_create/claim-8": "PUT /keyed/_create/claim-8?routing=3&",
	} {
		status, answer := fx.send(opensearch.Scheme, "PUT", target, "keyed", `{"section":3,"pin":"x"}`, key)
		seen := fx.fleet.Received()
		last := seen[len(seen)-1]
		if status != 201 || !strings.HasPrefix(last, want) || !strings.HasSuffix(last, " key="+key) {
			t.Errorf("%s: status %d, answer %s; replica received %q", target, status, answer, last)
		}
	}
}

// lateConn is a client's end of a connection that sends its first bytes only after the server has closed its end.
type lateConn struct {
	net.Conn
	serverClosed, firstWrite sync.Once
	written                  chan struct{} // closed once the first bytes are sent; reads wait for that
}

func (c *lateConn) Write(data []byte) (int, error) {
	c.serverClosed.Do(func() { c.Conn.Read(make([]byte, 1)) }) // returns when the server closes
	n, err := c.Conn.Write(data)
	c.firstWrite.Do(func() { close(c.written) })
	return n, err
}

func (c *lateConn) Read(data []byte) (int, error) {
	<-c.written
	return c.Conn.Read(data)
}

// A front closes an idle connection while a request is in flight on it. The client sends the request once more, on a
// new connection, and the request runs once. This happens to the clients of these tests if the machine gives them no
// time between the accept and the first byte; here the test forces it.
func TestRequestCrossingIdleCloseRunsOnce(t *testing.T) {
	forEachFrontAndScheme(t, func(t *testing.T, front, scheme string) {
		fx := newBothFronts(t, scheme, nil)
		dials := 0
		fx.dialFront = func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if dials++; dials > 1 || err != nil {
				return c, err
			}
			return &lateConn{Conn: c, written: make(chan struct{})}, nil
		}
		if status, answer := fx.query(front, "keyed", key); !succeeded(status) {
			t.Errorf("status %d, answer %s; want success", status, answer)
		}
		if got := fx.keysAtReplicas(); dials != 2 || !slices.Equal(got, []string{key}) {
			t.Errorf("%d connections, attempts with keys %q; want 2 connections and the key once", dials, got)
		}
	})
}
