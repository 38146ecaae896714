package opensearch

import (
	"context"
	"time"

	"harepass/internal/core"
	"harepass/internal/http1"
)

const (
	// maxConnsPerReplica is how many connections to a replica may be in use; each carries one request at a time.
	maxConnsPerReplica = 16

	// maxAnswerBytes is the longest body of a replica's answer. No response time-out applies to one: it is the only
	// answer on its connection, so a slow one holds up no other, and its attempt's time-out ends it.
	maxAnswerBytes = 1 << 20

	// idleTimeoutShare is how long an idle connection is used again, as a fraction of Caller.KeepAlive, after which
	// replicas close it: a later request might meet the close.
	idleTimeoutShare = 0.8
)

// replicaConns are the connections to a replica. Caller.mu guards idle.
type replicaConns struct {
	slots chan struct{} // holds one for each connection in use
	idle  []idleConn    // the connection used last stands last
}

// idleConn is an open connection without a request.
type idleConn struct {
	client    *http1.Client
	idleSince time.Time
}

// connsTo returns the connections to a replica. It is called under the lock.
func (caller *Caller) connsTo(replica string) *replicaConns {
	if caller.replicas == nil {
		caller.replicas = map[string]*replicaConns{}
		caller.sent = map[*core.Attempt]*sentAttempt{}
		if caller.MaxConns > 0 {
			caller.slots = make(chan struct{}, max(1, caller.MaxConns/2))
		}
	}
	conns := caller.replicas[replica]
	if conns == nil {
		conns = &replicaConns{slots: make(chan struct{}, maxConnsPerReplica)}
		caller.replicas[replica] = conns
	}
	return conns
}

// connect takes an idle connection to an address that can be used again, or opens one. The error is that of the
// connection, or the end of ctx.
func (caller *Caller) connect(ctx context.Context, conns *replicaConns, address string) (*http1.Client, error) {
	for {
		c, ok := caller.takeIdle(conns)
		if !ok {
			break
		}
		if c.client.Address == address && time.Since(c.idleSince) < caller.idleTimeout() && c.client.Alive() {
			return c.client, nil
		}
		c.client.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, caller.ConnectTimeout)
	defer cancel()
	limits := http1.Limits{Head: http1.DefaultLimits.Head, Body: maxAnswerBytes}
	c := &http1.Client{Address: address, Dial: caller.Dial, Limits: limits}
	return c, c.Connect(ctx)
}

// idleTimeout is how long an idle connection is used again.
func (caller *Caller) idleTimeout() time.Duration {
	return time.Duration(float64(caller.KeepAlive) * idleTimeoutShare)
}

// takeIdle takes the idle connection that was used last; ok is false where there is none.
func (caller *Caller) takeIdle(conns *replicaConns) (c idleConn, ok bool) {
	caller.mu.Lock()
	defer caller.mu.Unlock()
	last := len(conns.idle) - 1
	if last < 0 {
		return idleConn{}, false
	}
	c = conns.idle[last]
	conns.idle = conns.idle[:last]
	caller.idleCount--
	return c, true
}

// keepIdle keeps an attempt's connection for the next request. It is closed if its replica was forgotten meanwhile, or if
// there are as many idle connections as allowed.
func (caller *Caller) keepIdle(conns *replicaConns, at *core.Attempt, c *http1.Client) {
	caller.mu.Lock()
	defer caller.mu.Unlock()
	if s := caller.sent[at]; s != nil {
		s.client = nil // a later Cancel of the attempt must not close it under another one
	}
	if caller.replicas[at.ReplicaID] != conns || caller.slots != nil && caller.idleCount >= cap(caller.slots) {
		c.Close()
		return
	}
	conns.idle = append(conns.idle, idleConn{c, time.Now()})
	caller.idleCount++
}
