package platform

import (
	"slices"
	"sync"
	"time"

	"harepass/internal/core"
	"harepass/internal/http1"
)

// Scheme is the scheme of endpoints whose replicas speak frames.
const Scheme = "frame"

const (
	// idleTimeoutShare is how long an idle connection is reused, as a share of the time after which replicas close it.
	// A call sent later might reach a connection that the replica is closing.
	idleTimeoutShare = 0.8
	// defaultIdleTimeout is how long an idle connection is reused if the settings do not say when replicas close it.
	defaultIdleTimeout = 10 * time.Second

	// A connection can fall silent without an error while its replica answers on other connections. A connection on
	// which answers have been awaited for Caller.ResponseTimeout gets no new calls while the replica has fewer than
	// maxSilentConns such connections. It is closed once answersToClose later calls have been answered on others.
	maxSilentConns = 4
	answersToClose = 3

	// maxSettledIDs is how many ids of settled parts a connection remembers. An answer to one of them is a late or
	// duplicate answer, which is not a fault.
	maxSettledIDs = 256
)

// Caller sends calls to replicas in frames. It implements core.Caller. The exported fields must be set before the first
// Call; Configure may change some of them later. All methods may be called from any goroutine.
type Caller struct {
	Reporter       core.AttemptReporter // receives the outcome of each attempt
	CallsPerConn   int                  // calls that one connection carries at once; 0 for one
	MaxConns       int                  // open connections; the first to each replica is exempt; 0 for no limit
	ConnectTimeout time.Duration
	// ResponseTimeout bounds the time from the first byte of an answer to its last. It is also how long a connection on
	// which answers are awaited may be silent before new calls avoid it.
	ResponseTimeout time.Duration
	KeepAlive       time.Duration // time after which replicas close idle connections; 0 if unknown
	Dial            http1.Dialer  // nil for plain TCP

	mu        sync.Mutex                // guards the fields below and all connections; never held while blocking
	conns     map[string][]*replicaConn // by replica id
	openCount int                       // connections in conns
	attempts  map[*core.Attempt]*sentAttempt
	onDial    func() // called before each connection is opened; may be nil
}

// OnDial sets the function that is called before each connection is opened from now on. It is called without the lock.
func (caller *Caller) OnDial(f func()) {
	caller.mu.Lock()
	defer caller.mu.Unlock()
	caller.onDial = f
}

// Call implements core.Caller.
func (caller *Caller) Call(to core.Endpoint, attempts []*core.Attempt) {
	caller.mu.Lock()
	defer caller.mu.Unlock()
	c := caller.connFor(to)
	call := &queueItem{unsettled: len(attempts)}
	for _, at := range attempts {
		s := &sentAttempt{attempt: at, id: partID(at), call: call}
		call.parts = append(call.parts, s)
		c.outstanding = append(c.outstanding, s)
		caller.attempts[at] = s
	}
	c.calls++
	c.enqueue(call)
}

// connFor returns a connection with capacity for a call, or opens one. If no more connections may be opened, it returns
// one without capacity, and the call waits unread at the replica. mu must be held.
func (caller *Caller) connFor(to core.Endpoint) *replicaConn {
	if caller.conns == nil {
		caller.conns, caller.attempts = map[string][]*replicaConn{}, map[*core.Attempt]*sentAttempt{}
	}
	best, silent, silentCount := caller.closeStaleAndPick(to)
	if best == nil && (silentCount >= maxSilentConns || silentCount > 0 && caller.isFull()) {
		best = silent
	}
	if best != nil && (best.calls < max(1, caller.CallsPerConn) || caller.isFull()) {
		return best
	}
	c := &replicaConn{
		caller:   caller,
		replica:  to.ID,
		address:  to.Address,
		wake:     make(chan struct{}, 1),
		lastUsed: time.Now(),
	}
	caller.conns[to.ID] = append(caller.conns[to.ID], c)
	caller.openCount++
	go c.run()
	return c
}

// closeStaleAndPick closes the idle connections to an endpoint that have its old address or have exceeded idleTimeout.
// Among the other connections to its current address, it returns the one with the fewest calls that is not silent
// (best), the silent one with the fewest calls, and the number of silent ones. mu must be held.
func (caller *Caller) closeStaleAndPick(to core.Endpoint) (best, silent *replicaConn, silentCount int) {
	for _, c := range slices.Clone(caller.conns[to.ID]) {
		switch {
		case c.calls == 0 && (c.address != to.Address || time.Since(c.lastUsed) > caller.idleTimeout()):
			c.close()
		case c.address != to.Address:
		case c.silentFor() > caller.ResponseTimeout:
			silentCount++
			if silent == nil || c.calls < silent.calls {
				silent = c
			}
		case best == nil || c.calls < best.calls:
			best = c
		}
	}
	return best, silent, silentCount
}

// Configure applies changed settings, also to the connections that are already open.
func (caller *Caller) Configure(callsPerConn int, connect, response, keepAlive time.Duration) {
	caller.mu.Lock()
	defer caller.mu.Unlock()
	caller.CallsPerConn, caller.KeepAlive = callsPerConn, keepAlive
	caller.ConnectTimeout, caller.ResponseTimeout = connect, response
}

// times returns the time-outs of connections. It is for goroutines that do not hold mu.
func (caller *Caller) times() (connect, response, idle time.Duration) {
	caller.mu.Lock()
	defer caller.mu.Unlock()
	return caller.ConnectTimeout, caller.ResponseTimeout, caller.idleTimeout()
}

// idleTimeout returns how long an idle connection is kept and reused. mu must be held.
func (caller *Caller) idleTimeout() time.Duration {
	if caller.KeepAlive <= 0 {
		return defaultIdleTimeout
	}
	return time.Duration(float64(caller.KeepAlive) * idleTimeoutShare)
}

// OpenConns returns the number of connections, including those that are still being established.
func (caller *Caller) OpenConns() int {
	caller.mu.Lock()
	defer caller.mu.Unlock()
	return caller.openCount
}

// isFull reports whether the limit on connections is reached and none of them is idle. At the limit it closes an idle
// connection, if there is one, and reports false. mu must be held.
func (caller *Caller) isFull() bool {
	if caller.MaxConns == 0 || caller.openCount < caller.MaxConns {
		return false
	}
	for _, list := range caller.conns {
		for _, c := range list {
			if c.calls == 0 {
				c.close()
				return false
			}
		}
	}
	return true
}

// Cancel implements core.Caller. It queues the cancellation behind the attempt's call. If the attempt was cancelled
// before, or if the replica has not answered for ResponseTimeout since the attempt was written, Cancel closes the
// connection instead: the replica might never read the cancellation, and the part could run twice at once.
func (caller *Caller) Cancel(at *core.Attempt) {
	caller.mu.Lock()
	defer caller.mu.Unlock()
	s := caller.attempts[at]
	if s == nil {
		return
	}
	cancelledBefore := s.cancelled
	s.cancelled = true
	for _, c := range slices.Clone(caller.conns[at.ReplicaID]) {
		switch {
		case !slices.Contains(c.outstanding, s):
		case cancelledBefore, c.hasIgnored(s):
			c.discard()
		default:
			c.enqueue(&queueItem{cancels: s})
		}
	}
}

// CloseIdleConnections implements core.Caller.
func (caller *Caller) CloseIdleConnections(replica string) {
	caller.mu.Lock()
	defer caller.mu.Unlock()
	for _, c := range slices.Clone(caller.conns[replica]) {
		if c.calls == 0 {
			c.close()
		}
	}
}

// Close closes all connections. It does not wait for their goroutines to end.
func (caller *Caller) Close() {
	caller.mu.Lock()
	defer caller.mu.Unlock()
	for _, list := range caller.conns {
		for _, c := range slices.Clone(list) {
			c.close()
		}
	}
}
