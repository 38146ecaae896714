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

// Scheme names the replicas that offer the API.
const Scheme = "opensearch"

// Caller sends attempts to replicas that offer the API. It is a core.Caller. Its exported fields are to be set before
// the first Call. All methods are for any goroutine, and none blocks.
type Caller struct {
	// Reporter takes the outcome of each attempt.
	Reporter core.AttemptReporter
	// Config maps the classes of queries from other fronts to indices: see requestFor for a class without one.
	Config *Config
	// MaxConns is how many connections may be open at once, to all replicas; 0 for no limit. Half of them are for
	// requests, as many may be idle.
	MaxConns int
	// ConnectTimeout is how long a connection may take to be opened.
	ConnectTimeout time.Duration
	// KeepAlive is the time after which replicas close idle connections.
	KeepAlive time.Duration
	// Dial opens a connection; nil for plain TCP.
	Dial http1.Dialer

	mu        sync.Mutex               // guards all below; nothing blocks under it
	slots     chan struct{}            // holds one for each connection in use; nil for no limit. Set by the first Call
	idleCount int                      // idle connections of all replicas
	replicas  map[string]*replicaConns // by replica id
	sent      map[*core.Attempt]*sentAttempt

	withoutIndex map[string]bool // classes that were logged for want of an index
}

// sentAttempt is an attempt that has not ended.
type sentAttempt struct {
	cancel    context.CancelFunc
	cancelled bool          // Cancel was called
	client    *http1.Client // its connection; nil before it has one
}

// Call implements core.Caller. The API has no call of several parts: each attempt has a request and a goroutine of its
// own. The goroutine ends with its attempt, at the latest when Cancel ends that, and reports it.
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

// Cancel implements core.Caller. The API cannot take a request back: its connection is closed, by the attempt's goroutine
// or, at a second Cancel, before Cancel returns.
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

// setClient notes the connection of an attempt.
func (caller *Caller) setClient(at *core.Attempt, c *http1.Client) {
	caller.mu.Lock()
	defer caller.mu.Unlock()
	if s := caller.sent[at]; s != nil {
		s.client = c
	}
}

// CloseIdleConnections implements core.Caller. The replica is forgotten, since it may never be called again; attempts
// that are out go on, and their connections are closed after them.
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

// Close closes all idle connections. It cancels no attempt and waits for none.
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

// send makes one request and returns the outcome of its attempt, with the value if there is one.
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
	req, ok := caller.requestFor(at, to.Address) // after the connect, since the request tells the time that is left
	if !ok || !at.Begin() {
		caller.keepIdle(conns, at, c)
		return scatter.NotSent, nil
	}
	m, written, err := c.Do(ctx, req)
	if err != nil {
		return requestOutcome(ctx, written, err), nil
	}
	if at.WithVersion && m.Status == http.StatusBadRequest {
		return caller.sendWithoutVersion(ctx, conns, c, to, at)
	}
	caller.keepIdle(conns, at, c)
	return recordAnswer(at, m)
}

// sendWithoutVersion sends a search again as its client has worded it, after the replica has found a fault in the one
// that asks for the shard's version too. A 400 is the client's answer then. A search that was refused so has not run,
// and its class may run twice in any case.
func (caller *Caller) sendWithoutVersion(ctx context.Context, conns *replicaConns, c *http1.Client, to core.Endpoint,
	at *core.Attempt) (scatter.Outcome, []byte) {
	s, ok := at.Origin.(*search)
	if !ok || at.Remaining() <= 0 {
		caller.keepIdle(conns, at, c)
		return scatter.Errored, nil
	}
	req := searchRequest(s.index, at, s.body)
	req.Header.Set("Host", to.Address)
	m, written, err := c.Do(ctx, req)
	if err != nil {
		return requestOutcome(ctx, written, err), nil
	}
	caller.keepIdle(conns, at, c)
	return recordPlainAnswer(at, m)
}

// connectOutcome returns the outcome of an attempt without a connection. A cancelled attempt, or a process without free
// descriptors (EMFILE), says nothing of the replica.
func connectOutcome(ctx context.Context, err error) scatter.Outcome {
	if ctx.Err() != nil || errors.Is(err, syscall.EMFILE) {
		return scatter.NotSent
	}
	return scatter.ConnectFailed
}

// requestOutcome returns the outcome of an attempt whose request got no answer that could be read. written reports
// whether the request's last byte was written: the replica cannot have run it before.
func requestOutcome(ctx context.Context, written bool, err error) scatter.Outcome {
	var unreadable *http1.Error
	switch {
	case ctx.Err() != nil:
		return scatter.Cancelled
	case errors.As(err, &unreadable): // the replica runs and has answered
		return scatter.Errored
	case !written:
		return scatter.ConnectFailed
	}
	return scatter.ConnectionReset
}
