package harepass

import (
	"fmt"
	"time"

	"harepass/internal/decide/resend"
)

// This file is the whole interface of the decision module: what a root tells it (Settings, then
// events) and what it asks the root to do (actions). It holds no decision and no tuned value.
//
// Instants and spans are both time.Duration; an instant is a reading of any clock that only
// advances, with an origin of the root's choosing.

// Settings is what a root knows before its first query.
type Settings struct {
	Roots   int // roots that share the fleet, this one included
	Me      int // this root's number among them, from 1; 0 where it is not told
	Classes []Class
	Tenants []Tenant // none where traffic has no shares

	Cells int // shard s is held by the replicas of cells s, s+1 .. s+Reach-1, modulo Cells
	Reach int

	CallBatch int           // parts that one call can carry
	Turn      time.Duration // shortest time between two steps

	MaxAttempts  int // for each part, the first included
	SecondCopies bool
	Cancel       bool
	RetryAdvice  time.Duration // how long refused clients may be asked to stay away; 0 where they are told nothing

	OverShareWorth float64 // worth of traffic beyond a tenant's share, 1 being the usual

	Subscribe  bool          // the list must be asked for
	ListMaxAge time.Duration // an unsubscribed root that asks less often is deemed told anyway
	DrainGrace time.Duration // after the word that a replica drains or is gone, it may be sent to for so long

	Cold   Cold
	Budget *Budget // nil where further attempts are not rationed
}

// Class is one class of query.
type Class struct {
	Name       string
	Aim        time.Duration // answers within this earn their full worth
	Deadline   time.Duration // the client's patience over all of its tries
	Worth      float64
	LateWorth  float64 // share of the worth left between aim and deadline
	Repeat     Repeat
	Window     time.Duration // Guarded: how long repeats are dropped, from the first attempt on
	Need       float64       // share of the weight that makes a whole answer
	Floor      float64       // least share for any answer
	SecondStep int           // parts of a second step, 0 for none
}

// Resend is what bounds further attempts of a part, and gives them their idempotency key.
func (c Class) Resend() resend.Policy { return resend.Policy{Kind: c.Repeat, Window: c.Window} }

// Repeat tells how a class bears repeated parts.
type Repeat = resend.Kind

// The kinds of class.
const (
	Free       = resend.Free
	Guarded    = resend.Guarded
	SingleShot = resend.SingleShot
)

// Tenant is a customer with a share of the traffic; Quota is in queries a second over all roots.
type Tenant struct {
	Name  string
	Quota float64
}

// Cold is the rule for replicas that have just started.
type Cold struct {
	Start      float64       // share of its capacity that a starting replica has at least
	WarmWithin time.Duration // after this it has all of it
	Multiple   float64       // sent more than this multiple of its present capacity
	Window     time.Duration // for this long, it falls over
}

// Budget rations attempts beyond the first of each part.
type Budget struct {
	Free   int
	Ratio  float64
	Window time.Duration
}

// Event is something that a root tells the module.
type Event interface{ isEvent() }

// ListScope tells what a ListReceived holds.
type ListScope int

// The kinds of list.
const (
	ListChanges    ListScope = iota // changed replicas only
	ListFull                        // all replicas
	ListRemembered                  // all, as last held before a restart
	ListRefused                     // a request for the list failed, or the subscription broke
)

// ReplicaState is a replica's standing in the list.
type ReplicaState int

// The standings.
const (
	Ready ReplicaState = iota
	Draining
	Gone
)

// Replica is one entry of the list. Since is its last start, 0 for long ago.
type Replica struct {
	ID    string
	Cell  int
	Zone  string
	State ReplicaState
	Since time.Duration
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes.
const (
	Served        Outcome = iota
	Errored               // may have run
	Full                  // turned away unseen
	TimedOut              // may have run, or may run yet
	ConnectFailed         // never ran
	Reset                 // may have run
	Cancelled             // may have run
	Moot                  // not sent
)

type (
	// ListReceived brings the list of replicas, or the news that it could not be had.
	ListReceived struct {
		Scope    ListScope
		Replicas []Replica
	}
	// QueryArrived opens a query; its parts follow in the same step. Number ties them together.
	QueryArrived struct {
		ID         string
		Number     int64
		Class      string
		Tenant     string
		ValidUntil time.Duration // when the client gives this try up
		Parts      int
		IsRetry    bool
		Whole      bool // the client takes no answer in part
	}
	// PartArrived brings one part of the query of that number. Held parts count for admission and for what
	// can still come in, but are not sent before their PartSettled.
	PartArrived struct {
		ID     string
		Number int64
		Shard  int
		Weight float64
		Held   bool
	}
	// PartSettled ends the hold of a part. In tells that the root has its value by other means: it counts as
	// served, sent or not, and whatever attempt of it is out is called off.
	PartSettled struct {
		ID string
		In bool
	}
	// AttemptEnded brings the one outcome of an attempt.
	AttemptEnded struct {
		Part    string
		Attempt int
		Replica string
		Outcome Outcome
		Took    time.Duration
	}
	// QueryGone tells that a client left; nothing is owed for its query any more.
	QueryGone struct{ ID string }
	// QueryDue tells that the root can hold a query no longer: it is to be ended now, as at the end of its time.
	QueryDue struct{ ID string }
	// Woken answers a WakeIn.
	Woken struct{}
)

func (ListReceived) isEvent() {}
func (QueryArrived) isEvent() {}
func (PartArrived) isEvent()  {}
func (PartSettled) isEvent()  {}
func (AttemptEnded) isEvent() {}
func (QueryGone) isEvent()    {}
func (QueryDue) isEvent()     {}
func (Woken) isEvent()        {}

// Action is something that the module asks its root to do, at the time of the step and in order.
type Action interface{ isAction() }

type (
	// Send starts the next attempt of a part; attempts of a part count from 0. Sends of one step to
	// one replica share calls.
	Send struct {
		Part    string
		Replica string
		Timeout time.Duration
	}
	// CallOff stops waiting for an attempt.
	CallOff struct {
		Part    string
		Attempt int
	}
	// Answer answers a query from the parts served so far.
	Answer struct {
		Query string
		Whole bool
	}
	// Refuse turns a query away: trying again is harmless. RetryIn is 0 for no advice.
	Refuse struct {
		Query   string
		RetryIn time.Duration
	}
	// Fail gives a query up, promising nothing.
	Fail struct{ Query string }
	// Disconnect closes the idle connections to a replica.
	Disconnect struct{ Replica string }
	// Subscribe asks for the list and its changes.
	Subscribe struct{}
	// WakeIn asks for a Woken event.
	WakeIn struct{ In time.Duration }
)

func (Send) isAction()       {}
func (CallOff) isAction()    {}
func (Answer) isAction()     {}
func (Refuse) isAction()     {}
func (Fail) isAction()       {}
func (Disconnect) isAction() {}
func (Subscribe) isAction()  {}
func (WakeIn) isAction()     {}

// validate names the first setting that no root could have.
func (s Settings) validate() error {
	bad := func(field string, v any) error {
		return fmt.Errorf("harepass: impossible setting %s: %v", field, v)
	}
	switch {
	case s.Roots < 1:
		return bad("Roots", s.Roots)
	case s.Cells < 1:
		return bad("Cells", s.Cells)
	case s.Reach < 1 || s.Reach > s.Cells:
		return bad("Reach", s.Reach)
	case s.CallBatch < 1:
		return bad("CallBatch", s.CallBatch)
	case s.MaxAttempts < 1:
		return bad("MaxAttempts", s.MaxAttempts)
	case len(s.Classes) == 0:
		return bad("Classes", "none")
	case s.Cold.Start < 0 || s.Cold.Start > 1:
		return bad("Cold.Start", s.Cold.Start)
	case s.Turn < 0:
		return bad("Turn", s.Turn)
	case s.Budget != nil && (s.Budget.Ratio < 0 || s.Budget.Free < 0 || s.Budget.Window <= 0):
		return bad("Budget", *s.Budget)
	}
	for i, c := range s.Classes {
		f := fmt.Sprintf("Classes[%d].", i)
		switch {
		case c.Aim <= 0:
			return bad(f+"Aim", c.Aim)
		case c.Deadline < c.Aim:
			return bad(f+"Deadline", c.Deadline)
		case c.Need <= 0 || c.Need > 1:
			return bad(f+"Need", c.Need)
		case c.Floor < 0 || c.Floor > 1:
			return bad(f+"Floor", c.Floor)
		case c.SecondStep < 0:
			return bad(f+"SecondStep", c.SecondStep)
		case c.Repeat == Guarded && c.Window < 0:
			return bad(f+"Window", c.Window)
		}
	}
	return nil
}
