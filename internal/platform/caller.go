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
	Reporter        core.AttemptReporter // takes the outcome of each attempt
	CallsPerConn    int                  // calls that one connection carries at once; 0 for one
	MaxConns        int                  // connections open at once, but for the first to each replica; 0 for no limit
	ConnectTimeout  time.Duration
	ResponseTimeout time.Duration // for an answer to come in completely, and for some answer where any is awaited
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
	call := &pendingCall{unsettled: len(attempts)}
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
	best, silent, silentCount := caller.leastLoaded(to)
	if best == nil && (silentCount >= maxSilentConns || silentCount > 0 && caller.atConnLimit()) {
		best = silent
	}
	if best != nil && (best.calls < max(1, caller.CallsPerConn) || caller.atConnLimit()) {
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

// leastLoaded returns the connection to an endpoint with the fewest calls, and, apart from those, the one of the
// silent ones with the fewest calls and how many silent ones there are. Idle connections that are not trusted any
// more are closed.
func (caller *Caller) leastLoaded(to core.Endpoint) (best, silent *replicaConn, silentCount int) {
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
	caller.CallsPerConn, caller.ConnectTimeout, caller.ResponseTimeout, caller.KeepAlive = callsPerConn, connect, response, keepAlive
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

// atConnLimit reports whether no more connection may be opened; before that, an idle one makes way. It is called
// under the lock.
func (caller *Caller) atConnLimit() bool {
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

// Cancel implements core.Caller.
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
		case askedBefore, s.state == written && c.lastAnswer.Before(s.writtenAt) && time.Since(s.writtenAt) > caller.ResponseTimeout:
			c.discard() // the cancellation might never be read, and the part run twice at once
		default:
			c.enqueue(&pendingCall{cancel: s})
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

// Close ends all connections.
func (caller *Caller) Close() {
	caller.mu.Lock()
	defer caller.mu.Unlock()
	for _, list := range caller.conns {
		for _, c := range slices.Clone(list) {
			c.close()
		}
	}
}
