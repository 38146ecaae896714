package scatter

import "time"

// Event is something that the caller of a Machine tells it.
type Event interface{ isEvent() }

// UpdateKind tells what an EndpointUpdate holds.
type UpdateKind int

// The kinds of update.
const (
	IncrementalUpdate UpdateKind = iota // changed replicas only
	FullUpdate                          // all replicas
	CachedUpdate                        // all replicas, as last known before a restart
	FailedUpdate                        // a request for the list failed, or the subscription broke
)

// ReplicaState is a replica's standing in the endpoint list.
type ReplicaState int

// The standings.
const (
	Ready ReplicaState = iota
	Draining
	Removed
)

// Replica is one entry of the endpoint list.
type Replica struct {
	ID           string
	RingPosition int
	Zone         string // the Machine does not read it
	State        ReplicaState
	StartedAt    time.Duration // its process's last start; 0 for long ago
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes.
const (
	Succeeded       Outcome = iota
	Errored                 // may have run
	Rejected                // for want of capacity; never ran
	TimedOut                // may have run, or may run yet
	ConnectFailed           // never ran
	ConnectionReset         // may have run
	Cancelled               // may have run
	NotSent                 // never ran
)

// neverRan reports whether an outcome proves that the attempt has not run and will not.
func (o Outcome) neverRan() bool { return o == Rejected || o == ConnectFailed || o == NotSent }

type (
	// EndpointUpdate brings the list of replicas, changes of it, or the notice that it could not be had.
	EndpointUpdate struct {
		Kind     UpdateKind
		Replicas []Replica
	}
	// QueryArrived opens a query; its parts follow in the same step. Number ties them together.
	QueryArrived struct {
		ID              string
		Number          int64
		Class           string
		Tenant          string
		Expires         time.Duration // when the client gives this request up
		Parts           int           // how many follow; the Machine does not read it
		IsRetry         bool          // the client has sent it before
		RequireComplete bool          // the client takes no answer in part
	}
	// PartArrived brings one part of the query of that number. Deferred parts count for admission and for what can
	// still come in, but are not sent before their PartReleased.
	PartArrived struct {
		ID       string
		Number   int64
		Shard    int
		Weight   float64 // share of the query's weight; those of all parts sum to 1
		Deferred bool
	}
	// PartReleased ends the deferral of a part. Resolved tells that the caller has its value by other means: it
	// counts as served, sent or not, and whatever attempt of it is out is cancelled.
	PartReleased struct {
		ID       string
		Resolved bool
	}
	// AttemptEnded brings the one outcome of an attempt.
	AttemptEnded struct {
		Part    string
		Attempt int
		Replica string // the Machine does not read it: the attempt has one
		Outcome Outcome
		Latency time.Duration
	}
	// QueryCancelled tells that a client has left; nothing is owed for its query any more.
	QueryCancelled struct{ ID string }
	// QueryExpired tells that the caller can hold a query no longer: it is to be ended now, as at the end of its time.
	QueryExpired struct{ ID string }
	// TimerFired answers a SetTimer.
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
