package maintenance

import (
	"maps"
	"time"

	"harepass/internal/decide/scatter"
)

// Register holds the last call for each replica that operators have called for, by replica id. It is for one goroutine
// at a time.
type Register map[string]Entry

// Apply enters a call and reports whether it changed anything. A repeated call changes nothing: the first one counts.
//
// The clock of the process that takes a call back may lag behind that of the process that took the replica out. Ordered
// by these clocks alone the call back would be lost, and the replica stay out. So a call is entered after the last one
// known, whatever its own time says.
func (r Register) Apply(id string, e Entry) (changed bool) {
	last, known := r[id]
	if last.Out == e.Out { // a replica that was never out has the zero entry
		return false
	}
	if known {
		e.At = max(e.At, last.At+1)
		e.OutSince = 0
		if !e.Out {
			e.OutSince = last.At
		}
	}
	r[id] = e
	return true
}

// Merge takes over the entries of another register that supersede the ones here, and reports whether there were any.
func (r Register) Merge(other Register) (changed bool) {
	for id, e := range other {
		if last, known := r[id]; !known || e.supersedes(last) {
			r[id] = e
			changed = true
		}
	}
	return changed
}

// Out returns the entries of the replicas that are out, by replica id.
func (r Register) Out() map[string]Entry {
	out := maps.Clone(r)
	maps.DeleteFunc(out, func(_ string, e Entry) bool { return !e.Out })
	return out
}

// Prune drops the entries of replicas that were called back before a time: they are as any other replica again. The time
// has to be longer ago than a slow start takes, which Effective has begin at the call back. Other registers may still
// have such an entry, and merging one brings it back, which changes nothing. Merging one that has the replica as out
// would take it out again, so a call back stays while isOutElsewhere says that there is such a register; nil for none.
func (r Register) Prune(before time.Duration, isOutElsewhere func(id string) bool) {
	maps.DeleteFunc(r, func(id string, e Entry) bool {
		return !e.Out && e.At < before && (isOutElsewhere == nil || !isOutElsewhere(id))
	})
}

// Effective returns a listed replica as the scatter machine is to hear of it. A replica that is out drains. One that
// was called back counts as restarted, for operators restart what they take out: at the start that the list gives, or
// at the call back where the list does not show a restart yet.
func (r Register) Effective(listed scatter.Replica) scatter.Replica {
	switch e, known := r[listed.ID]; {
	case !known:
	case e.Out && listed.State == scatter.Ready:
		listed.State = scatter.Draining
	case !e.Out && listed.StartedAt <= e.OutSince:
		listed.StartedAt = e.At
	}
	return listed
}
