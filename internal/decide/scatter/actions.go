package scatter

import "time"

// Action is a request from a Machine to its caller, to be carried out at the time of the step and in order.
type Action interface{ isAction() }

type (
	// Send starts the next attempt of a part. The attempts of a part are numbered from 0. Sends of one step to the same
	// replica share calls.
	Send struct {
		Part    string
		Replica string
		Timeout time.Duration // until the objective or, after that, until the end of the query
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
	// Reject rejects a query: the client may safely try again. RetryAfter is 0 for no advice.
	Reject struct {
		Query      string
		RetryAfter time.Duration
	}
	// Fail ends a query without an answer and without the promise that trying again is harmless.
	Fail struct{ Query string }
	// CloseIdleConnections closes the idle connections to a replica.
	CloseIdleConnections struct{ Replica string }
	// Subscribe requests the endpoint list and its changes.
	Subscribe struct{}
	// SetTimer requests a TimerFired event and replaces any earlier request.
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
