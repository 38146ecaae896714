package core

import (
	"time"

	"harepass/internal/decide/retry"
	"harepass/internal/decide/twophase"
)

// Query is what a front hands over. The front must not change it after that; the coordinator does, and only it: it cuts
// Deadline to what the class allows and to the end of its drain, and Execute sets Done.
type Query struct {
	ID              string        // as replicas see it; validate checks its characters and length
	Class           string        // name of a class in the settings
	Tenant          string        // name of a tenant in the settings; empty for none
	Deadline        time.Duration // when the client gives up, on the coordinator's clock
	IsRetry         bool          // the client has sent the query before
	RequireComplete bool          // the client does not want an answer that lacks parts
	Body            []byte        // what each part carries to its replica
	IdempotencyKeys []string      // values of retry.IdempotencyKeyHeader, one for each line
	Origin          any           // the front's own form of the query, for callers that know it
	Admitted        bool          // Admit has admitted the query by its head, so Execute does not call it again
	Index           string        // what the Planner caches the parts' values under; empty allows no first phase
	EmptyValue      []byte        // with an Index: the value of a shard without any hit
	Parts           []Part        // one for each shard that the query needs

	// Done is given the one final answer by the coordinator's goroutine, and must not block. Execute sets it.
	Done func(Answer)
	// ClientLeft asks the system, without waiting, whether the client has left; any goroutine may call it. It is nil
	// where the system cannot tell.
	ClientLeft func() bool

	client clientWatch
}

// Part is a query's share in one shard.
type Part struct {
	Shard  int     // number of the shard, from 0
	Weight float64 // share of the query's value; the weights of a query sum to 1
}

// Status is the kind of a final answer.
type Status int

// The final answers.
const (
	Served   Status = iota
	Rejected        // refused; a retry is harmless
	Failed          // given up, promising nothing
	Invalid         // refused; it cannot be served as it is, and nothing was sent
)

// Answer is the one final answer to a query.
type Answer struct {
	Status     Status
	Complete   bool          // Served: the module counts the answer as complete
	Values     [][]byte      // Served: an entry for each part; nil where no value came in
	Pruned     []bool        // Served: an entry for each part; true where the first phase gave the value
	Faults     []int         // Served: an entry for each part; Attempt.FaultStatus of its value
	RetryAfter time.Duration // Rejected: the client should wait as long before a retry; 0 for no advice
	Reason     string        // Invalid: what is wrong, for the client
}

// query is a Query that was accepted.
type query struct {
	*Query
	moduleID       string        // names the query in the module's events and actions
	number         int64         // the module's number of the query; queries that were accepted later have higher ones
	retryPolicy    retry.Policy  // policy of the query's class when it was accepted
	idempotencyKey string        // key that all attempts carry; empty in a class that was not keyed
	acceptedAt     time.Duration // instant of the tick that accepted the query
	bytes          int64         // bytes that the query takes, as far as they are counted
	parts          []*part       // in the order of Query.Parts
	giveUpTimer    *timer        // when the query is given up, should the module not have answered it
	firstPhase     *firstPhase   // nil in one phase
}

// part is a part of an accepted query, or its first phase.
type part struct {
	id       string     // the module's id of the part
	index    int        // place in Query.Parts
	shard    int        // shard that the part asks
	query    *query     // query that the part belongs to
	value    []byte     // what the shard answered; nil before the answer is in
	attempts []*Attempt // all attempts of the part, in the order of their numbers

	faultStatus int // Attempt.FaultStatus of the value

	full           *part // set in a first phase: the part in full that it goes ahead of
	firstPhasePart *part // set in a part in full while its first phase is under way
	deferred       bool  // the part is not to be sent before its first phase has ended or has had its time
	wantsVersion   bool  // the value is wanted with its version
	pruned         bool  // the first phase gave the value; the module hears the part as resolved
}

// topic is what the Planner learns the query's costs by.
func (q *query) topic() twophase.Topic { return twophase.Topic{Index: q.Index, Class: q.Class} }
