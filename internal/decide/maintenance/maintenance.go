// Package maintenance decides what the module is told of map nodes that operators have taken out. It stands between what
// sources list and what the module hears: sources may say what they like meanwhile.
package maintenance

import (
	"maps"
	"slices"
	"strings"
	"time"

	"harepass"
)

// Entry is the last call for a node. Times are on the owner's clock, since the Unix epoch.
type Entry struct {
	Out    bool          `json:"out"`
	At     time.Duration `json:"at"`
	From   time.Duration `json:"from,omitempty"` // of a call back: since when the node had been out
	By     string        `json:"by,omitempty"`   // who called
	Reason string        `json:"reason,omitempty"`
}

// Book holds entries by node id. Of two entries the later one counts, so books of several processes can be merged in
// any order, again and again.
type Book map[string]Entry

// over tells whether e counts before o. Of two calls of the same moment the one for out does, for that is the safe
// error.
func (e Entry) over(o Entry) bool {
	if e.At != o.At {
		return e.At > o.At
	}
	if e.Out != o.Out {
		return e.Out
	}
	return strings.Compare(e.By+"\x00"+e.Reason, o.By+"\x00"+o.Reason) > 0
}

// Call enters a call and tells whether it changed anything: several for the same are as one, and the first of them
// counts. A clock that lags behind the last call, another process's, does not undo this one.
func (b Book) Call(id string, e Entry) bool {
	last, known := b[id]
	if last.Out == e.Out { // a node that was never out has the zero entry
		return false
	}
	if known {
		e.At = max(e.At, last.At+1)
		if e.From = 0; !e.Out {
			e.From = last.At
		}
	}
	b[id] = e
	return true
}

// Merge takes over what counts more in another book and tells whether that was anything.
func (b Book) Merge(o Book) (changed bool) {
	for id, e := range o {
		if last, known := b[id]; !known || e.over(last) {
			b[id] = e
			changed = true
		}
	}
	return changed
}

// Out lists the ids that are out, as a set.
func (b Book) Out() map[string]Entry {
	out := maps.Clone(b)
	maps.DeleteFunc(out, func(_ string, e Entry) bool { return !e.Out })
	return out
}

// Forget drops calls back from before a time: of these nodes nothing is special any more.
func (b Book) Forget(before time.Duration) {
	maps.DeleteFunc(b, func(_ string, e Entry) bool { return !e.Out && e.At < before })
}

// Told is an entry of the list as the module is to hear it. A node that is out drains. One that was called back has
// been restarted in between: when the list says so, or at the call back where it does not know of that yet.
func (b Book) Told(r harepass.Replica) harepass.Replica {
	switch e, known := b[r.ID]; {
	case !known:
	case e.Out && r.State == harepass.Ready:
		r.State = harepass.Draining
	case !e.Out && r.Since <= e.From:
		r.Since = e.At
	}
	return r
}

// Bare lists the shards, in order, whose holders are all out by hand: no query that needs them can be served. Others that
// lack a ready holder lack it by the list. The list has to name all holders of shards that one of a node out holds.
func (b Book) Bare(list []harepass.Replica, cells, reach, shards int) (bare []int) {
	position := func(no int) int { return (no%cells + cells) % cells }
	open := map[int]bool{} // cells with a node that is not out
	touched := map[int]bool{}
	for _, r := range list {
		if r.State != harepass.Ready {
			continue
		}
		if !b[r.ID].Out {
			open[position(r.Cell)] = true
			continue
		}
		for j := range reach {
			for s := position(r.Cell - j); s < shards; s += cells {
				touched[s] = true
			}
		}
	}
	for _, s := range slices.Sorted(maps.Keys(touched)) {
		held := false
		for j := range reach {
			held = held || open[position(s+j)]
		}
		if !held {
			bare = append(bare, s)
		}
	}
	return bare
}
