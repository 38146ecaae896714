// Package maintenance decides what the module is told of map nodes that operators have taken out. It stands between what
// sources list and what the module hears: sources may say what they like meanwhile.
package maintenance

import (
	"maps"
	"slices"
	"strings"
	"time"

	"harepass/internal/decide/scatter"
)

// Entry is the last call for a node. Times are on the owner's clock, since the Unix epoch.
type Entry struct {
	Out      bool          `json:"out"`
	At       time.Duration `json:"at"`
	OutSince time.Duration `json:"from,omitempty"` // of a call back: since when the node had been out
	By       string        `json:"by,omitempty"`   // who called
	Reason   string        `json:"reason,omitempty"`
}

// Register holds entries by node id. Of two entries the later one counts, so books of several processes can be merged in
// any order, again and again.
type Register map[string]Entry

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

// Apply enters a call and tells whether it changed anything: several for the same are as one, and the first of them
// counts. A clock that lags behind the last call, another process's, does not undo this one.
func (b Register) Apply(id string, e Entry) bool {
	last, known := b[id]
	if last.Out == e.Out { // a node that was never out has the zero entry
		return false
	}
	if known {
		e.At = max(e.At, last.At+1)
		if e.OutSince = 0; !e.Out {
			e.OutSince = last.At
		}
	}
	b[id] = e
	return true
}

// Merge takes over what counts more in another book and tells whether that was anything.
func (b Register) Merge(o Register) (changed bool) {
	for id, e := range o {
		if last, known := b[id]; !known || e.over(last) {
			b[id] = e
			changed = true
		}
	}
	return changed
}

// Out lists the ids that are out, as a set.
func (b Register) Out() map[string]Entry {
	out := maps.Clone(b)
	maps.DeleteFunc(out, func(_ string, e Entry) bool { return !e.Out })
	return out
}

// Prune drops calls back from before a time: of these nodes nothing is special any more.
func (b Register) Prune(before time.Duration) {
	maps.DeleteFunc(b, func(_ string, e Entry) bool { return !e.Out && e.At < before })
}

// Effective is an entry of the list as the module is to hear it. A node that is out drains. One that was called back has
// been restarted in between: when the list says so, or at the call back where it does not know of that yet.
func (b Register) Effective(r scatter.Replica) scatter.Replica {
	switch e, known := b[r.ID]; {
	case !known:
	case e.Out && r.State == scatter.Ready:
		r.State = scatter.Draining
	case !e.Out && r.StartedAt <= e.OutSince:
		r.StartedAt = e.At
	}
	return r
}

// UncoveredShards lists the shards, in order, whose holders are all out by hand: no query that needs them can be served. Others that
// lack a ready holder lack it by the list. The list has to name all holders of shards that one of a node out holds.
func (b Register) UncoveredShards(list []scatter.Replica, cells, reach, shards int) (bare []int) {
	position := func(no int) int { return (no%cells + cells) % cells }
	open := map[int]bool{} // cells with a node that is not out
	touched := map[int]bool{}
	for _, r := range list {
		if r.State != scatter.Ready {
			continue
		}
		if !b[r.ID].Out {
			open[position(r.RingPosition)] = true
			continue
		}
		for j := range reach {
			for s := position(r.RingPosition - j); s < shards; s += cells {
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
