// Package lease decides for how long a coordinator may go on sending by a list of nodes that its discovery has not confirmed.
//
// A change of the list binds a coordinator some time after discovery had it and could be reached, whether or not the
// coordinator has heard of it. So each confirmation of the list is a lease for that time. A call that finds that discovery
// cannot be had renews it, since nothing binds before it can be reached again; one that breaks or stays silent there does not.
// Once the lease is over, nothing new may be sent by the list.
package lease

import (
	"time"

	"harepass/internal/decide/backoff"
)

// Lease is that of one list from one service. Times are on any one clock.
type Lease struct {
	confirmed time.Duration // what the list lacks was made after this, or could not be had before it
	period    time.Duration // after that, what was made binds
	grace     time.Duration // for how long sends may go on then
	expires   time.Duration
}

// Of the rule's own grace sends may use up what is not kept for a coordinator that is held up between its clock and its
// sockets: heldUp, or half of a grace that is short.
const heldUp = 250 * time.Millisecond

// usable is what sends may use up of a grace.
func usable(grace time.Duration) time.Duration { return max(grace/2, grace-heldUp) }

// New is the lease of a process that begins with a remembered list and has not asked yet: it is held to that for the time
// that the settings allow between two calls. Once a call has failed, only the usual period counts. Grace is for how long the
// rule allows sends to a node after the word that it drains.
func New(now, listMaxAge, grace time.Duration) Lease {
	l := Lease{confirmed: now, period: backoff.NotifiedAfter, grace: usable(grace)}
	l.expires = now + max(listMaxAge, backoff.NotifiedAfter) + l.grace
	return l
}

// SetGrace takes over another grace, from the next news on.
func (l *Lease) SetGrace(grace time.Duration) { l.grace = usable(grace) }

// Expires is when the list holds no longer.
func (l *Lease) Expires() time.Duration { return l.expires }

// Confirmed notes that the list was the latest one at a time.
func (l *Lease) Confirmed(at time.Duration) {
	l.period = backoff.NotifiedAfter
	l.renew(at)
}

// Unreachable notes that discovery could not be reached by a call that began at a time.
func (l *Lease) Unreachable(began time.Duration) { l.renew(began) }

// Unanswered notes that a call may have reached discovery and brought nothing.
func (l *Lease) Unanswered() { l.expires = min(l.expires, l.confirmed+l.period+l.grace) }

// ServiceChanged notes that another service tells the list from a time on: what it has binds sooner, until it has answered.
func (l *Lease) ServiceChanged(at time.Duration) {
	l.confirmed = min(at, l.confirmed+l.period-backoff.NotifiedAfterReload) // what came before is not prolonged
	l.period = backoff.NotifiedAfterReload
	l.expires = min(l.expires, at+l.period+l.grace)
}

// renew counts the period from a time on. Time that the list has already is not taken back: calls may overlap.
func (l *Lease) renew(from time.Duration) {
	l.confirmed = max(l.confirmed, from)
	l.expires = l.confirmed + l.period + l.grace
}
