package scatter

import "time"

// Action is something that a Machine asks its caller to do, at the time of the step and in order.
type Action interface{ isAction() }

type (
	// Send starts the next attempt of a part; attempts of a part count from 0. Sends of one step to one replica share
	// calls.
	Send struct {
		Part    string
		Replica string
		Timeout time.Duration // until the answer is due by the objective; after that, until the query is ended
	}
	// CancelAttempt stops waiting for an attempt.
	CancelAttempt struct {
		Part    string
		Attempt int
	}
	// Answer answers a query from the parts served so far.
	Answer struct {
		Query    string
		Complete bool
	}
	// Reject rejects a query: trying again is harmless. RetryAfter is 0 for no advice.
	Reject struct {
		Query      string
		RetryAfter time.Duration
	}
	// Fail gives a query up, promising nothing.
	Fail struct{ Query string }
	// CloseIdleConnections closes the idle connections to a replica.
	CloseIdleConnections struct{ Replica string }
	// Subscribe asks for the endpoint list and its changes.
	Subscribe struct{}
	// SetTimer asks for a TimerFired event, in the place of any that was asked for before.
	SetTimer struct{ After time.Duration }
)

func (Send) isAction()                 {}
func (CancelAttempt) isAction()        {}
func (Answer) isAction()               {}
func (Reject) isAction()               {}
func (Fail) isAction()                 {}
func (CloseIdleConnections) isAction() {}
func (Subscribe) isAction()            {}
func (SetTimer) isAction()             {}
