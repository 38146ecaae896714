package failover

import (
	"math/rand/v2"
	"time"
)

// Reason is why a source is left, or why a probed one is not followed.
type Reason int

const (
	// Failed is a refused or reset connection, or an answer that reports a failure.
	Failed Reason = iota
	// Silent is a call without an answer in time. A source may take a heartbeat to answer, for it waits so long for a
	// new version; an allowance is added for its way to the reader. Package distribution configures both.
	Silent
	// Behind is a source that has an older version than the reader.
	Behind
	// Invalid is an answer that breaks the protocol.
	Invalid
	// Stale is a source whose state was last known to be the newest too long ago.
	Stale
)

// String returns the reason's name for logs.
func (r Reason) String() string {
	return [...]string{"failed", "silent", "behind", "invalid", "stale"}[r]
}

// maxFailureDelay bounds the backoff of sources that are cut off: they are Failed or Silent. A reader that lost all of
// them for long has to have what is new within 3 s of their return, and a vain call that is under way at that instant
// takes its heartbeat and allowance besides. A source that is Invalid answers, so it may be backed off for longer.
const maxFailureDelay = 1500 * time.Millisecond

// backoffs are the delays after which a source that was left for a reason may be followed again. Each Reason has one.
var backoffs = [...]backoff{
	Failed:  {250 * time.Millisecond, maxFailureDelay},
	Silent:  {500 * time.Millisecond, maxFailureDelay},
	Behind:  {250 * time.Millisecond, time.Second}, // it is about to receive what it lacks
	Invalid: {2 * time.Second, 30 * time.Second},
	Stale:   {time.Second, time.Second}, // it answers: if the current source fails, it is better than none
}

// backoff is a delay that doubles with each repetition, from min up to max.
type backoff struct{ min, max time.Duration }

// jitter is the share of each delay that is drawn at random.
const jitter = 0.5

// delay draws the delay after so many repetitions.
func (b backoff) delay(repetitions int, rng *rand.Rand) time.Duration {
	delay := b.min
	for range repetitions {
		if delay = min(2*delay, b.max); delay == b.max {
			break
		}
	}
	return time.Duration((1-jitter)*float64(delay)) + draw(rng, time.Duration(jitter*float64(delay)))
}

// draw returns a random instant of an interval.
func draw(rng *rand.Rand, interval time.Duration) time.Duration {
	return time.Duration(rng.Float64() * float64(interval))
}
