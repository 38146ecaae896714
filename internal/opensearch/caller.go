package opensearch

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"syscall"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
	"harepass/internal/http1"
)

// Scheme is the core.Endpoint.Scheme of replicas that offer the API.
const Scheme = "opensearch"

// Caller sends attempts to replicas that offer the API. It implements core.Caller. Its exported fields must be set
// before the first Call. Any goroutine may call its methods, and none of them blocks.
type Caller struct {
	// Reporter receives the outcome of each attempt.
	Reporter core.AttemptReporter
	// Config maps the classes of queries from other fronts to indices; requestFor handles a class without an index.
	Config *Config
	// MaxConns limits the open connections to all replicas together; 0 means no limit. Half of them may carry requests,
	// and as many may be idle.
	MaxConns int
	// ConnectTimeout bounds the time to open a connection.
	ConnectTimeout time.Duration
	// KeepAlive is the time after which replicas close idle connections.
	KeepAlive time.Duration
	// Dial opens a connection; nil for plain TCP.
	Dial http1.Dialer

	mu        sync.Mutex               // guards all fields below; no code blocks while holding it
	slots     chan struct{}            // one element per connection in use; nil for no limit. Set by the first Call
	idleCount int                      // idle connections of all replicas
	replicas  map[string]*replicaConns // by replica id
	sent      map[*core.Attempt]*sentAttempt

	withoutIndex map[string]bool // classes whose lack of an index has been logged
}

// sentAttempt is an attempt that has not ended.
type sentAttempt struct {
	cancel    context.CancelFunc
	cancelled bool          // Cancel was called
	client    *http1.Client // connection of the attempt; nil until it has one
}

// Call implements core.Caller. The API has no call of several parts, so each attempt has its own request and goroutine.
// The goroutine reports the attempt's outcome and ends, at the latest when Cancel cancels the attempt.
func (caller *Caller) Call(to core.Endpoint, attempts []*core.Attempt) {
	caller.mu.Lock()
	defer caller.mu.Unlock()
	conns := caller.connsTo(to.ID)
	for _, at := range attempts {
		ctx, cancel := context.WithCancel(context.Background())
		caller.sent[at] = &sentAttempt{cancel: cancel}
		go func() {
			outcome, value := caller.send(ctx, conns, to, at)
			caller.mu.Lock()
			delete(caller.sent, at)
			caller.mu.Unlock()
			cancel()
			caller.Reporter.AttemptEnded(at, outcome, value)
		}()
	}
}

// Cancel implements core.Caller. The API cannot withdraw a request, so cancelling an attempt closes its connection: the
// first Cancel leaves that to the attempt's goroutine, a second Cancel closes the connection before it returns.
func (caller *Caller) Cancel(at *core.Attempt) {
	caller.mu.Lock()
	defer caller.mu.Unlock()
	s := caller.sent[at]
	if s == nil {
		return
	}
	s.cancel()
	if s.cancelled && s.client != nil {
		s.client.Abort()
	}
	s.cancelled = true
}

// setClient records the connection of an attempt, for a second Cancel to close.
func (caller *Caller) setClient(at *core.Attempt, c *http1.Client) {
	caller.mu.Lock()
	defer caller.mu.Unlock()
	if s := caller.sent[at]; s != nil {
		s.client = c
	}
}

// CloseIdleConnections implements core.Caller. It also forgets the replica, which may never be called again. Attempts
// in progress continue, and their connections are closed when the attempts end.
func (caller *Caller) CloseIdleConnections(replica string) {
	caller.mu.Lock()
	defer caller.mu.Unlock()
	conns := caller.replicas[replica]
	if conns == nil {
		return
	}
	for _, c := range conns.idle {
		c.client.Close()
	}
	caller.idleCount -= len(conns.idle)
	conns.idle = nil
	delete(caller.replicas, replica)
}

// Close closes all idle connections. It neither cancels attempts nor waits for them.
func (caller *Caller) Close() {
	caller.mu.Lock()
	var ids []string
	for id := range caller.replicas {
		ids = append(ids, id)
	}
	caller.mu.Unlock()
	for _, id := range ids {
		caller.CloseIdleConnections(id)
	}
}

// send makes the request of one attempt, and returns its outcome and its value if there is one.
func (caller *Caller) send(ctx context.Context, conns *replicaConns, to core.Endpoint, at *core.Attempt) (
	scatter.Outcome, []byte) {
	for _, slots := range []chan struct{}{conns.slots, caller.slots} {
		if slots == nil {
			continue
		}
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		case <-ctx.Done():
			return scatter.NotSent, nil
		}
	}
	c, err := caller.connect(ctx, conns, to.Address)
	if err != nil {
		return connectOutcome(ctx, err), nil
	}
	caller.setClient(at, c)
	req, ok := caller.begin(at, to.Address) // after the connect, since the request contains the remaining time
	if !ok {
		caller.keepIdle(conns, at, c)
		return scatter.NotSent, nil
	}
	m, written, err := c.DoEncoded(ctx, req)
	if err != nil {
		return requestOutcome(ctx, written, err), nil
	}
	if at.WithVersion && m.Status == http.StatusBadRequest {
		return caller.sendWithoutVersion(ctx, conns, c, to, at)
	}
	caller.keepIdle(conns, at, c)
	return recordAnswer(at, m)
}

// begin encodes the request of an attempt and begins the attempt. It returns false if there is no request for it or it
// may not begin.
func (caller *Caller) begin(at *core.Attempt, address string) (req []byte, ok bool) {
	req, begun := core.BeginAll([]*core.Attempt{at}, func([]*core.Attempt) []byte {
		message, possible := caller.requestFor(at, address)
		if !possible {
			return nil
		}
		return message.Append(nil)
	})
	return req, len(begun) > 0
}

// sendWithoutVersion sends a search again as its client worded it, after the replica answered 400 to the search that
// also requests the shard's version. A 400 to the client's own search is the answer to the client. A second send is
// safe: a search refused with 400 has not run, and its class may run twice anyway.
func (caller *Caller) sendWithoutVersion(ctx context.Context, conns *replicaConns, c *http1.Client, to core.Endpoint,
	at *core.Attempt) (scatter.Outcome, []byte) {
	s, ok := at.Origin.(*search)
	if !ok {
		caller.keepIdle(conns, at, c)
		return scatter.Errored, nil
	}
	req := core.BeginAgain(at, func([]*core.Attempt) []byte {
		m := searchRequest(s.index, at, s.body)
		m.Header.Set("Host", to.Address)
		return m.Append(nil)
	})
	if req == nil {
		caller.keepIdle(conns, at, c)
		return scatter.NotSent, nil
	}
	m, written, err := c.DoEncoded(ctx, req)
	if err != nil {
		return requestOutcome(ctx, written, err), nil
	}
	caller.keepIdle(conns, at, c)
	return recordPlainAnswer(at, m)
}

// connectOutcome returns the outcome of an attempt that got no connection. It is NotSent if the attempt was cancelled
// or the process has no free descriptors (EMFILE), since neither says anything about the replica.
func connectOutcome(ctx context.Context, err error) scatter.Outcome {
	if ctx.Err() != nil || errors.Is(err, syscall.EMFILE) {
		return scatter.NotSent
	}
	return scatter.ConnectFailed
}

// requestOutcome returns the outcome of an attempt whose request got no readable answer. written reports whether the
// request's last byte was written; before that byte, the replica cannot have run the request.
func requestOutcome(ctx context.Context, written bool, err error) scatter.Outcome {
	var unreadable *http1.Error
	switch {
	case ctx.Err() != nil:
		return scatter.Cancelled
	case errors.As(err, &unreadable): // the replica is running and has answered
		return scatter.Errored
	case !written:
		return scatter.ConnectFailed
	}
	return scatter.ConnectionReset
}
