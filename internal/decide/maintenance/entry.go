package maintenance

import (
	"strings"
	"time"
)

// Entry is the last call for a replica. Its JSON form is stored in files that other versions of the program read.
type Entry struct {
	Out      bool          `json:"out"`              // true if the replica is out, false if it was called back
	At       time.Duration `json:"at"`               // time of the call, since the Unix epoch
	OutSince time.Duration `json:"from,omitempty"`   // for a call back: time when the replica was taken out; else 0
	By       string        `json:"by,omitempty"`     // operator who made the call
	Reason   string        `json:"reason,omitempty"` // reason for the call, if one was given
}

// supersedes reports whether e takes precedence over o. The later of two calls does. Of two calls at the same time the
// one that takes the replica out does, because wrongly taking a replica out is the safer error. Otherwise the order is
// arbitrary, but it must be the same in all processes.
func (e Entry) supersedes(o Entry) bool {
	if e.At != o.At {
		return e.At > o.At
	}
	if e.Out != o.Out {
		return e.Out
	}
	return strings.Compare(e.By+"\x00"+e.Reason, o.By+"\x00"+o.Reason) > 0
}
