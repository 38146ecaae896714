package platform

import (
	"slices"
	"sync"
	"time"

	"harepass/internal/core"
	"harepass/internal/http1"
)

// Scheme names the replicas that speak frames.
const Scheme = "frame"

const (
	// idleTimeoutShare is how long an idle connection is used again, as a share of the time after which replicas
	// close it: a later call might meet the close.
	idleTimeoutShare = 0.8
	// defaultIdleTimeout is how long one is used again where the settings do not tell when replicas close it.
	defaultIdleTimeout = 10 * time.Second

	// Connections fall silent without any error, while their replica answers on others. One on which answers have been
	// awaited for Caller.ResponseTimeout gets no new calls while there are fewer than maxSilentConns like it, and is
	// closed once answersToClose later calls have been answered on others.
	maxSilentConns = 4
	answersToClose = 3

	// maxSettledIDs is how many settled ids a connection remembers: a late answer or a second copy is no fault.
	maxSettledIDs = 256
)

// Caller speaks frames to replicas. It is a core.Caller. Its exported fields are to be set before the first Call;
// Configure changes some of them later. All methods are for any goroutine.
type Caller struct {
	Reporter       core.AttemptReporter // takes the outcome of each attempt
	CallsPerConn   int                  // calls that one connection carries at once; 0 for one
	MaxConns       int                  // connections open at once, but for the first to each replica; 0 for no limit
	ConnectTimeout time.Duration
	// ResponseTimeout bounds two times: from the first byte of an answer to its last, and the silence of a
	// connection on which answers are awaited, after which new calls avoid it.
	ResponseTimeout time.Duration
	KeepAlive       time.Duration // after which replicas close idle connections; 0 where that is not known
	Dial            http1.Dialer  // nil for plain TCP

	mu        sync.Mutex                // guards all below, connections included; nothing blocks under it
	conns     map[string][]*replicaConn // by replica id
	openCount int                       // connections in conns
	attempts  map[*core.Attempt]*sentAttempt
	onDial    func() // called before each connection is opened; nil for nothing
}

// OnDial has f called before each connection is opened from now on, without the lock.
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

// connFor finds a connection with capacity for a call, or opens one. Where no more may be opened, calls wait unread
// at the replica. It is called under the lock.
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

// closeStaleAndPick closes the idle connections to an endpoint that are not trusted any more. Of the others it
// returns the one with the fewest calls; of the silent ones apart, the one with the fewest calls and how many they
// are. It is called under the lock.
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

// Configure takes over what other settings say of connections; those that stand go by it too.
func (caller *Caller) Configure(callsPerConn int, connect, response, keepAlive time.Duration) {
	caller.mu.Lock()
	defer caller.mu.Unlock()
	caller.CallsPerConn, caller.KeepAlive = callsPerConn, keepAlive
	caller.ConnectTimeout, caller.ResponseTimeout = connect, response
}

// times are the time-outs that a connection goes by, for goroutines without the lock.
func (caller *Caller) times() (connect, response, idle time.Duration) {
	caller.mu.Lock()
	defer caller.mu.Unlock()
	return caller.ConnectTimeout, caller.ResponseTimeout, caller.idleTimeout()
}

// idleTimeout is how long an idle connection is used again, and kept. It is called under the lock.
func (caller *Caller) idleTimeout() time.Duration {
	if caller.KeepAlive <= 0 {
		return defaultIdleTimeout
	}
	return time.Duration(float64(caller.KeepAlive) * idleTimeoutShare)
}

// OpenConns is how many connections there are, those that are coming up included.
func (caller *Caller) OpenConns() int {
	caller.mu.Lock()
	defer caller.mu.Unlock()
	return caller.openCount
}

// isFull reports whether no more connection may be opened. Where the limit is reached it closes an idle one first,
// and then reports false. It is called under the lock.
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

// Cancel implements core.Caller. The cancellation is queued behind the attempt's call. Asked again, or where the
// replica has answered nothing for long since the attempt was written, the connection is closed instead: the
// cancellation might never be read, and the part run twice at once.
func (caller *Caller) Cancel(at *core.Attempt) {
	caller.mu.Lock()
	defer caller.mu.Unlock()
	s := caller.attempts[at]
	if s == nil {
		return
	}
	askedBefore := s.cancelled
	s.cancelled = true
	for _, c := range slices.Clone(caller.conns[at.ReplicaID]) {
		switch {
		case !slices.Contains(c.outstanding, s):
		case askedBefore, c.hasIgnored(s):
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

// Close ends all connections. It does not wait for their goroutines.
func (caller *Caller) Close() {
	caller.mu.Lock()
	defer caller.mu.Unlock()
	for _, list := range caller.conns {
		for _, c := range slices.Clone(list) {
			c.close()
		}
	}
}
