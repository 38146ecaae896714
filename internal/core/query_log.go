package core

import (
	"context"
	"log/slog"
	"time"

	"harepass/internal/decide/scatter"
	"harepass/internal/logmsg"
)

// The rate of log lines about queries that fail or exceed their latency objective is limited: in an outage, logging
// must not add load of its own.
const (
	maxLogBurst = 5               // lines that may be written in a burst
	logInterval = 2 * time.Second // time after which one more line may be written
)

// stateNames are the names of replica states in log lines, indexed by state.
var stateNames = [...]string{logmsg.StateReady, "draining", "gone"}

// logLimit is a token bucket for log lines about queries that failed or were late. The zero value is full.
type logLimit struct {
	tokens     float64       // lines that may be written
	updatedAt  time.Duration // instant of the last update of tokens; 0 before the first line
	suppressed int           // lines suppressed since the last written line
}

// take reports whether a line may be written now, and how many lines were suppressed since the last written one.
func (l *logLimit) take(now time.Duration) (suppressed int, ok bool) {
	if l.updatedAt == 0 {
		l.tokens = maxLogBurst
	}
	l.tokens = min(maxLogBurst, l.tokens+float64(now-l.updatedAt)/float64(logInterval))
	if l.updatedAt = now; l.tokens < 1 {
		l.suppressed++
		return 0, false
	}
	suppressed, l.suppressed = l.suppressed, 0
	l.tokens--
	return suppressed, true
}

// tracing reports whether every query, attempt and endpoint update is logged.
func (c *Coordinator) tracing() bool { return c.cfg.Log.Enabled(context.Background(), slog.LevelDebug) }

// logEndpointUpdated logs an entry of the endpoint list. The age is 0 if the replica has no start time.
func (c *Coordinator) logEndpointUpdated(e Endpoint) {
	if !c.tracing() {
		return
	}
	age := time.Duration(0)
	if e.StartedAt > 0 {
		age = c.now - e.StartedAt
	}
	c.cfg.Log.Debug(logmsg.EndpointUpdated, logmsg.KeyReplica, e.ID, logmsg.KeyState, stateNames[e.State],
		logmsg.KeyAge, age)
}

// logAttemptEnded logs the outcome of an attempt.
func (c *Coordinator) logAttemptEnded(at *Attempt, outcome scatter.Outcome, latency time.Duration) {
	if c.tracing() {
		c.cfg.Log.Debug(logmsg.AttemptEnded, logmsg.KeyQuery, at.QueryID, logmsg.KeyShard, at.Shard,
			logmsg.KeyAttempt, at.number, logmsg.KeyReplica, at.ReplicaID, logmsg.KeyOutcome, outcomeNames[outcome],
			logmsg.KeyLatency, latency)
	}
}

// logClientLeft logs that a query's client has left, with the time since the query was accepted.
func (c *Coordinator) logClientLeft(q *query) {
	if c.tracing() {
		c.cfg.Log.Debug(logmsg.ClientLeft, logmsg.KeyQuery, q.ID, logmsg.KeyClass, q.Class,
			logmsg.KeyQueryAge, c.now-q.acceptedAt)
	}
}

// logAnswer logs a query's end. Queries that failed or were late are logged at info level, as logLimit allows, and all
// others at debug level; at debug level no line is suppressed.
func (c *Coordinator) logAnswer(q *query, a Answer) {
	latency, level := c.now-q.acceptedAt, slog.LevelDebug
	if a.Status == Failed || c.pastObjective(q, latency) {
		level = slog.LevelInfo
	}
	if !c.cfg.Log.Enabled(context.Background(), level) {
		return
	}
	suppressed := 0
	if level == slog.LevelInfo && !c.tracing() {
		var ok bool
		if suppressed, ok = c.logLimit.take(c.now); !ok {
			return
		}
	}
	attempts, served := 0, 0
	for _, p := range q.parts {
		attempts += len(p.attempts)
		if p.value != nil {
			served++
		}
	}
	c.cfg.Log.Log(context.Background(), level, logmsg.QueryEnded, logmsg.KeyQuery, q.ID, logmsg.KeyClass, q.Class,
		logmsg.KeyTenant, q.Tenant, logmsg.KeyStatus, statusNames[a.Status], logmsg.KeyComplete, a.Complete,
		logmsg.KeyLatency, latency, logmsg.KeyTimeLeft, q.Deadline-c.now, logmsg.KeyParts, len(q.parts),
		logmsg.KeyPartsServed, served, logmsg.KeyAttempts, attempts, logmsg.KeyLinesSuppressed, suppressed)
}

// pastObjective reports whether a latency exceeds the objective of the query's class.
func (c *Coordinator) pastObjective(q *query, latency time.Duration) bool {
	class := c.inForce().class(q.Class)
	return class != nil && latency > class.LatencyObjective
}
