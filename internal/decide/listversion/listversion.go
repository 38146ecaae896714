// Package listversion decides which of two processes of a coordinator knows the newer version of the endpoint list.
//
// A version's index alone does not tell: each discovery service numbers its versions by an index of its own, and a
// service that was restarted from an older state continues with a lower one. Nor does the time at which a process has
// stored a list: it may have stored an old list late. So Known holds the service, the index, and the interval of time in
// which the service's answers were known to be current.
//
// # Contract
//
// Instants are readings of one clock that both processes can read and that no step of the wall clock moves. The package
// keeps no state.
package listversion

import "time"

// NotConfirmed is the value of Known.ConfirmedAt if no answer of the service has shown the version to be the latest.
const NotConfirmed = time.Duration(-1)

// clockTolerance covers the difference between two processes' readings of the clock that they share.
const clockTolerance = 10 * time.Millisecond

// Known is what one process knows of the list's latest version.
type Known struct {
	Service     string        // address of the discovery service that numbered the version
	Numbering   int64         // changes whenever a process sees the service go back to a lower index
	Index       int64         // the version's number
	ConfirmedAt time.Duration // latest instant at which the version was the latest one, or NotConfirmed
	HeardAt     time.Duration // when the latest answer with or about the version arrived
}

// Supersedes reports whether k is a later version of the list than other. Versions of two services do not compare, and
// neither supersedes the other.
//
// If one version was confirmed after the other process had last heard of its own, it is the later one even if its
// index is lower: the service was restarted. Otherwise the one with the higher index is.
func (k Known) Supersedes(other Known) bool {
	switch {
	case k.Service != other.Service:
		return false
	case k.confirmedAfter(other):
		return k.Index != other.Index || k.Numbering != other.Numbering
	case other.confirmedAfter(k):
		return false
	}
	return k.Index > other.Index
}

// Continues reports whether k has the same service and numbering as other, so that changes from one to the other exist.
func (k Known) Continues(other Known) bool {
	return k.Service == other.Service && k.Numbering == other.Numbering
}

// confirmedAfter reports whether k was the latest version at an instant after the last answer about other.
func (k Known) confirmedAfter(other Known) bool {
	return k.ConfirmedAt != NotConfirmed && k.ConfirmedAt > other.HeardAt+clockTolerance
}
