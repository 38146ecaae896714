package maintenance

import (
	"strings"
	"time"
)

// Entry is the last call for a replica. Its JSON form is stored, and read by other versions of the program.
type Entry struct {
	Out      bool          `json:"out"`              // the replica is out; else it was called back
	At       time.Duration `json:"at"`               // time of the call, since the Unix epoch
	OutSince time.Duration `json:"from,omitempty"`   // for a call back: since when the replica had been out; else 0
	By       string        `json:"by,omitempty"`     // who called
	Reason   string        `json:"reason,omitempty"` // why, where that was given
}

// supersedes reports whether e counts rather than o: the later of two calls. Of two calls at the same time the one that
// takes the replica out counts, for that is the safe error; the rest of the order only has to be the same everywhere.
func (e Entry) supersedes(o Entry) bool {
	if e.At != o.At {
		return e.At > o.At
	}
	if e.Out != o.Out {
		return e.Out
	}
	return strings.Compare(e.By+"\x00"+e.Reason, o.By+"\x00"+o.Reason) > 0
}
