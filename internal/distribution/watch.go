package distribution

import "time"

const (
	// noWait is the wait of a poll that is to be answered at once: the least above 0 that hold_ms can express.
	noWait = time.Millisecond
	// probingWait bounds the waits of a stale source while another one is probed: the probe's result is looked at
	// between two polls, and should not wait for a heartbeat.
	probingWait = 100 * time.Millisecond
)

// maxWait returns how long the source may wait for a new version before it answers the next poll. A source that has
// just been chosen, has announced more, or is behind is to answer at once. first is for the first poll of a source.
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
