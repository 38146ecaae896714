package operator

import "time"

// peerTimeout is the age of a checkpoint at which the process that wrote it counts as ended: a process that serves
// writes one each second.
const peerTimeout = 2500 * time.Millisecond

// peerWatch tracks whether another process of the coordinator serves beside this one.
type peerWatch struct {
	aliveAt time.Duration // instant of the latest checkpoint from another process that was recent when read; 0 for none
	shared  bool          // the last result of observe: another process serves
}

// observe evaluates the state files that have changed, and reports whether another process serves and whether that has
// changed since the last call. It ignores files that an ended process left long ago.
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
