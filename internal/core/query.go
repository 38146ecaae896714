package core

import (
	"time"

	"harepass/internal/decide/retry"
	"harepass/internal/decide/twophase"
)

// Query is what a front submits. The front must not change it afterwards. The coordinator does change it: it shortens
// Deadline to the limit of the class and to the end of a drain, and Execute sets Done.
type Query struct {
	ID              string        // as replicas see it; validate checks its characters and length
	Class           string        // name of a class in the settings
	Tenant          string        // name of a tenant in the settings; empty for none
	Deadline        time.Duration // when the client stops waiting, on the coordinator's clock
	IsRetry         bool          // the client has sent this query before
	RequireComplete bool          // the client does not accept an answer with missing parts
	Body            []byte        // sent to a replica with each part
	IdempotencyKeys []string      // values of retry.IdempotencyKeyHeader, one for each header line
	Origin          any           // the front's own form of the query, for Callers that know it
	Admitted        bool          // Admit has admitted the query for the front, so Execute does not call it
	Index           string        // the Planner's topic; if empty, there is no first phase
	EmptyValue      []byte        // with an Index: the value of a shard without hits
	Cacheable       bool          // with an Index: nothing but a shard's documents decides the shard's value for Body
	Parts           []Part        // one for each shard that the query needs

	// Done receives the one final answer. The coordinator's goroutine calls it, so it must not block. Execute sets it.
	Done func(Answer)
	// ClientLeft asks the system whether the client has left, without blocking; any goroutine may call it. It is nil if
	// the system cannot tell.
	ClientLeft func() bool

	client clientWatch
}

// Part is the share of a query that one shard answers.
type Part struct {
	Shard  int     // number of the shard, from 0
	Weight float64 // share of the query's value; the weights of a query sum to 1
}

// Status is the kind of a final answer.
type Status int

// The final answers.
const (
	Served   Status = iota
	Rejected        // not served; a retry is harmless
	Failed          // given up, without the promise that a retry is harmless
	Invalid         // the query cannot be served as it is; nothing was sent
)

// Answer is the one final answer to a query.
type Answer struct {
	Status     Status
	Complete   bool          // Served: the module counts the answer as complete
	Values     [][]byte      // Served: one entry for each part; nil if no value was received
	Pruned     []bool        // Served: one entry for each part; true if the first phase gave the value
	Faults     []int         // Served: one entry for each part; Attempt.FaultStatus of its value
	RetryAfter time.Duration // Rejected: how long the client should wait before a retry; 0 for no advice
	Reason     string        // Invalid: what is wrong with the query, for the client
}

// query is an accepted Query.
type query struct {
	*Query
	moduleID       string        // identifies the query in the module's events and actions
	number         int64         // the module's number of the query; increases in the order of acceptance
	retryPolicy    retry.Policy  // policy of the query's class at the time of acceptance
	idempotencyKey string        // key sent with all attempts; empty if the class was not keyed
	acceptedAt     time.Duration // instant of the tick that accepted the query
	bytes          int64         // estimated bytes of the query; see openQueries.addBytes
	parts          []*part       // in the order of Query.Parts
	giveUpTimer    *timer        // fails the query if the module has not answered it in time
	firstPhase     *firstPhase   // nil if all parts are asked in one phase
}

// part is a part of an accepted query, or the first phase of such a part.
type part struct {
	id       string     // the module's id of the part
	index    int        // position in Query.Parts
	shard    int        // number of the shard that the part asks
	query    *query     // query that the part belongs to
	value    []byte     // value received from the shard or proven by the first phase; nil until then
	attempts []*Attempt // all attempts of the part, in the order of their numbers

	faultStatus int // Attempt.FaultStatus of the value

	full           *part // in a first phase: the part that it belongs to
	firstPhasePart *part // in a full part: its first phase, while that is in progress
	deferred       bool  // the part is not sent until its first phase has ended or used up its time
	wantsVersion   bool  // the value is requested together with its version
	pruned         bool  // the first phase proved the value; the part is reported to the module as resolved
}

// topic returns the key under which the Planner learns the query's costs.
func (q *query) topic() twophase.Topic { return twophase.Topic{Index: q.Index, Class: q.Class} }
