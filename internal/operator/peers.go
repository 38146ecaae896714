package operator

import "time"

// peerTimeout is the age of a checkpoint from which its process counts as ended: one that serves writes each second.
const peerTimeout = 2500 * time.Millisecond

// peerWatch follows whether another process of the coordinator serves beside this one.
type peerWatch struct {
	aliveAt time.Duration // instant of the latest checkpoint that another process wrote while it served; 0 for none
	shared  bool          // another process serves
}

// observe takes the state files that have changed, and reports whether another process serves and whether that has
// changed. A file that an ended process left long ago says nothing.
func (w *peerWatch) observe(name string, others []StateFile, now time.Duration) (changed, shared bool) {
	for _, o := range others {
		if o.Name == name && o.Checkpoint != nil && now-o.Checkpoint.At < peerTimeout {
			w.aliveAt = max(w.aliveAt, o.Checkpoint.At)
		}
	}
	shared = w.aliveAt > 0 && now-w.aliveAt < peerTimeout
	changed = shared != w.shared
	w.shared = shared
	return changed, shared
}
