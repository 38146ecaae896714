package opensearch

import (
	"context"
	"time"

	"harepass/internal/core"
	"harepass/internal/http1"
)

const (
	// maxConnsPerReplica is the maximum number of connections in use to one replica; each carries one request at a
	// time.
	maxConnsPerReplica = 16

	// maxAnswerBytes is the maximum body size of a replica's answer. No response time-out applies to an answer: it is
	// the only one on its connection, so a slow answer delays no other, and the attempt's time-out ends it.
	maxAnswerBytes = 1 << 20

	// idleTimeoutShare is the fraction of Caller.KeepAlive for which an idle connection may be reused. Replicas close
	// idle connections after KeepAlive, and a later request could cross that close.
	idleTimeoutShare = 0.8
)

// replicaConns are the connections to one replica. Caller.mu guards idle.
type replicaConns struct {
	slots chan struct{} // one element for each connection in use
	idle  []idleConn    // the most recently used connection is last
}

// idleConn is an open connection that carries no request.
type idleConn struct {
	client    *http1.Client
	idleSince time.Time
}

// connsTo returns the connections to a replica. Its first call creates the maps and slots of the Caller. The caller
// must hold Caller.mu.
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

// connect returns a reusable idle connection to an address, or opens a new one. The error is the connection's, or ctx's
// if ctx ends first.
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
	limits := http1.Limits{Head: http1.DefaultLimits.Head, Body: maxAnswerBytes, Fields: http1.NoFields}
	c := &http1.Client{Address: address, Dial: caller.Dial, Limits: limits}
	return c, c.Connect(ctx)
}

// idleTimeout is how long an idle connection may be reused.
func (caller *Caller) idleTimeout() time.Duration {
	return time.Duration(float64(caller.KeepAlive) * idleTimeoutShare)
}

// takeIdle removes and returns the most recently used idle connection; ok is false if there is none.
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

// keepIdle keeps an attempt's connection for the next request. It closes the connection if CloseIdleConnections has
// forgotten the replica since, or if the number of idle connections is at its limit.
func (caller *Caller) keepIdle(conns *replicaConns, at *core.Attempt, c *http1.Client) {
	caller.mu.Lock()
	defer caller.mu.Unlock()
	if s := caller.sent[at]; s != nil {
		s.client = nil // a later Cancel of this attempt must not close the connection under another attempt
	}
	if caller.replicas[at.ReplicaID] != conns || caller.slots != nil && caller.idleCount >= cap(caller.slots) {
		c.Close()
		return
	}
	conns.idle = append(conns.idle, idleConn{c, time.Now()})
	caller.idleCount++
}
