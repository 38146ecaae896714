package distribution

import "time"

const (
	// noWait is the wait of a poll that the source should answer at once: the shortest wait above 0 that hold_ms can
	// express.
	noWait = time.Millisecond
	// probingWait bounds the wait of a stale source while another source is probed. The Follower handles the probe's
	// result between two polls, and that should not be delayed by a heartbeat.
	probingWait = 100 * time.Millisecond
)

// maxWait returns how long the source may wait for a new version before it answers the next poll. It returns noWait for
// the first poll of a source (first), while the local copy has no version or is within a snapshot, and if the source
// has announced another slice or is behind. Otherwise it returns the heartbeat, or less for a stale source: a probe
// should start when it is due, and its result should be handled soon.
func (f *Follower) maxWait(first bool) time.Duration {
	cursor, known := f.state.Cursor()
	if first || !known || cursor.Base > 0 || f.current.moreAvailable || f.lag.isBehind() {
		return noWait
	}
	if !f.selector.Stale() {
		return f.cfg.Heartbeat
	}
	if f.probe.underWay {
		return min(f.cfg.Heartbeat, probingWait)
	}
	if untilProbe := f.selector.FresherIn(f.now()); untilProbe > 0 {
		return min(f.cfg.Heartbeat, max(untilProbe, noWait))
	}
	return f.cfg.Heartbeat
}

// callTimeout returns how long the next poll may take; first is whether it is the first poll of its source.
func (f *Follower) callTimeout(first bool) time.Duration {
	if first {
		return f.cfg.FirstCallTimeout
	}
	return f.cfg.Heartbeat + f.cfg.SilenceTolerance
}
