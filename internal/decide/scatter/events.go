package scatter

import "time"

// Event is an input of Machine.Step.
type Event interface{ isEvent() }

// UpdateKind is the kind of an EndpointUpdate.
type UpdateKind int

// The kinds of update.
const (
	IncrementalUpdate UpdateKind = iota // changed replicas only
	FullUpdate                          // all replicas
	CachedUpdate                        // all replicas, as last known before a restart
	FailedUpdate                        // a request for the list failed, or the subscription was lost
)

// ReplicaState is a replica's state in the endpoint list.
type ReplicaState int

// The states.
const (
	Ready ReplicaState = iota
	Draining
	Removed
)

// Replica is one entry of the endpoint list.
type Replica struct {
	ID           string
	RingPosition int
	Zone         string // not read by the Machine
	State        ReplicaState
	StartedAt    time.Duration // when its process last started; 0 for long ago
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes.
const (
	Succeeded       Outcome = iota
	Errored                 // may have run
	Rejected                // for lack of capacity; never ran
	TimedOut                // may have run, or may still run
	ConnectFailed           // never ran
	ConnectionReset         // may have run
	Cancelled               // may have run
	NotSent                 // never ran
)

// neverRan reports whether an outcome proves that the attempt has not run and will not.
func (o Outcome) neverRan() bool { return o == Rejected || o == ConnectFailed || o == NotSent }

type (
	// EndpointUpdate carries the list of replicas, changes to it, or the notice that it could not be obtained.
	EndpointUpdate struct {
		Kind     UpdateKind
		Replicas []Replica
	}
	// QueryArrived opens a query. Its parts follow in the same step and carry the same Number.
	QueryArrived struct {
		ID              string
		Number          int64
		Class           string
		Tenant          string
		Expires         time.Duration // when the client gives up this request
		Parts           int           // how many parts follow; not read by the Machine
		IsRetry         bool          // the client has sent this query before
		RequireComplete bool          // the client accepts no partial answer
	}
	// PartArrived adds a part to the query with its Number. Deferred parts count for admission and for the weight that
	// the query can still reach, but are not sent before their PartReleased.
	PartArrived struct {
		ID       string
		Number   int64
		Shard    int
		Weight   float64 // share of the query's weight; those of all parts sum to 1
		Deferred bool
	}
	// PartReleased ends the deferral of a part. Resolved means that the caller has the part's value by other means: the
	// part counts as served, whether it was sent or not, and its outstanding attempts are cancelled.
	PartReleased struct {
		ID       string
		Resolved bool
	}
	// AttemptEnded reports the outcome of an attempt. Each attempt has one.
	AttemptEnded struct {
		Part    string
		Attempt int
		Replica string // not read by the Machine, which knows the attempt's replica
		Outcome Outcome
		Latency time.Duration
	}
	// QueryCancelled reports that a client has left. Its query needs no answer any more.
	QueryCancelled struct{ ID string }
	// QueryExpired reports that the caller can hold a query no longer. The Machine ends the query now, as at the end of
	// its time.
	QueryExpired struct{ ID string }
	// TimerFired reports that the timer of the last SetTimer has fired.
	TimerFired struct{}
)

func (EndpointUpdate) isEvent() {}
func (QueryArrived) isEvent()   {}
func (PartArrived) isEvent()    {}
func (PartReleased) isEvent()   {}
func (AttemptEnded) isEvent()   {}
func (QueryCancelled) isEvent() {}
func (QueryExpired) isEvent()   {}
func (TimerFired) isEvent()     {}
