package maintenance

import (
	"maps"
	"time"

	"harepass/internal/decide/scatter"
)

// Register holds the last call for each replica that has had one, by replica id. It is not safe for concurrent use.
type Register map[string]Entry

// Apply records a call and reports whether it changed the register. A repeated call changes nothing: the first one is
// kept.
//
// The clock of the process that receives a call back may lag behind the clock of the process that took the replica out.
// If calls were ordered by these clocks alone, the call back would be lost and the replica would stay out. So a call is
// always recorded with a time after that of the last known call.
func (r Register) Apply(id string, e Entry) (changed bool) {
	last, known := r[id]
	if last.Out == e.Out { // a replica without a call has the zero entry, which is not out
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

// Merge copies the entries of another register that supersede those of r, and reports whether there were any.
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

// Prune drops the entries of replicas that were called back before a given time, because these replicas need no special
// treatment any longer. The time must be further in the past than the duration of a slow start, because Effective makes
// the slow start begin at the call back. Merging a register that still has the pruned entry restores it, which is
// harmless. But merging a register in which the replica is still out would take the replica out again. So Prune keeps a
// call back while isOutElsewhere reports that such a register exists; nil means that there is none.
func (r Register) Prune(before time.Duration, isOutElsewhere func(id string) bool) {
	maps.DeleteFunc(r, func(id string, e Entry) bool {
		return !e.Out && e.At < before && (isOutElsewhere == nil || !isOutElsewhere(id))
	})
}

// Effective returns a listed replica as it appears to the scatter machine. A replica that is out appears as draining. A
// replica that was called back counts as restarted, because operators restart the replicas that they take out. Its
// start time is the listed one, or that of the call back if the list does not show a restart yet.
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
