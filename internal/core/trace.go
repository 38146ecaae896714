package core

import (
	"context"
	"log/slog"
	"time"

	"harepass/internal/decide/scatter"
	"harepass/internal/logmsg"
)

// This file is what the owner writes of single queries, so that one which ended wrongly can be followed by its id.

// Queries that fail, or whose clients wait past their aim, are told at most so often: a bad minute is not to make
// logging a load of its own.
const (
	wordsBurst = 5
	wordsEvery = 2 * time.Second
)

var outcomeNames = [...]string{"served", "error", "full", "timeout", "noconn", "reset", "cancelled", "moot"}

var stateNames = [...]string{"ready", "draining", "gone"}

var verdictNames = [...]string{"served", "refused", "failed", "invalid"}

// words are the lines that may still be written about queries that ended badly.
type words struct {
	left    float64
	at      time.Duration
	dropped int
}

// take tells whether a line may be written now, and how many were not since the last one that was.
func (w *words) take(now time.Duration) (dropped int, ok bool) {
	if w.at == 0 {
		w.left = wordsBurst
	}
	w.left = min(wordsBurst, w.left+float64(now-w.at)/float64(wordsEvery))
	if w.at = now; w.left < 1 {
		w.dropped++
		return 0, false
	}
	dropped, w.dropped = w.dropped, 0
	w.left--
	return dropped, true
}

// tracing tells whether each step of each query is to be written.
func (o *Coordinator) tracing() bool { return o.cfg.Log.Enabled(context.Background(), slog.LevelDebug) }

// traceListed writes an entry of the list; age is 0 for a node that started long ago.
func (o *Coordinator) traceListed(n Endpoint) {
	if !o.tracing() {
		return
	}
	age := time.Duration(0)
	if n.StartedAt > 0 {
		age = o.now - n.StartedAt
	}
	o.cfg.Log.Debug(logmsg.EndpointUpdated, logmsg.KeyReplica, n.ID, logmsg.KeyState, stateNames[n.State], logmsg.KeyAge, age)
}

// traceEnd writes an attempt's end.
func (o *Coordinator) traceEnd(at *Attempt, outcome scatter.Outcome, took time.Duration) {
	if o.tracing() {
		o.cfg.Log.Debug(logmsg.AttemptEnded, logmsg.KeyQuery, at.QueryID, logmsg.KeyShard, at.Shard, logmsg.KeyAttempt, at.no,
			logmsg.KeyReplica, at.Endpoint, logmsg.KeyOutcome, outcomeNames[outcome], logmsg.KeyLatency, took)
	}
}

// traceGone writes that a query's client has left.
func (o *Coordinator) traceGone(q *query) {
	if o.tracing() {
		o.cfg.Log.Debug(logmsg.ClientLeft, logmsg.KeyQuery, q.ID, logmsg.KeyClass, q.Class, "after", o.now-q.taken)
	}
}

// traceAnswer writes a query's end: at debug level each, else those that failed or came late.
func (o *Coordinator) traceAnswer(q *query, a Answer) {
	took := o.now - q.taken
	bad := a.Status == Failed
	if c := o.set().class(q.Class); c != nil {
		bad = bad || took > c.LatencyObjective
	}
	level := slog.LevelDebug
	if bad {
		level = slog.LevelInfo
	}
	if !o.cfg.Log.Enabled(context.Background(), level) {
		return
	}
	dropped := 0
	if level == slog.LevelInfo && !o.tracing() {
		var ok bool
		if dropped, ok = o.words.take(o.now); !ok {
			return
		}
	}
	attempts, in := 0, 0
	for _, p := range q.parts {
		attempts += len(p.attempts)
		if p.value != nil {
			in++
		}
	}
	o.cfg.Log.Log(context.Background(), level, logmsg.QueryEnded, logmsg.KeyQuery, q.ID, logmsg.KeyClass, q.Class, "tenant", q.Tenant,
		logmsg.KeyStatus, verdictNames[a.Status], logmsg.KeyComplete, a.Complete, logmsg.KeyLatency, took, "time_left", q.Deadline-o.now,
		"parts", len(q.parts), "parts_served", in, logmsg.KeyAttempts, attempts, "lines_dropped", dropped)
}
