package failover

import (
	"math/rand/v2"
	"time"
)

// Reason is why a reader leaves a source, or does not follow a probed one.
type Reason int

const (
	// Failed is a refused or reset connection, or an answer that reports a failure.
	Failed Reason = iota
	// Silent is a call without an answer in time. A source may take one heartbeat to answer, because it waits that long
	// for a new version. The time limit adds an allowance for the answer's way to the reader. Package distribution
	// configures both.
	Silent
	// Behind is a source that has an older version than the reader.
	Behind
	// Invalid is an answer that violates the protocol.
	Invalid
	// Stale is a source whose copy was last known to be the newest version too long ago.
	Stale
)

// String returns the reason's name for logs.
func (r Reason) String() string {
	return [...]string{"failed", "silent", "behind", "invalid", "stale"}[r]
}

// maxFailureDelay bounds the backoff of sources that the reader cannot reach, which are Failed or Silent. A reader that
// lost all sources for a long time must have the newest version within 3 s of their return. A call that is in progress
// at their return and fails takes its heartbeat and allowance in addition to the backoff. An Invalid source does
// answer, so its backoff may be longer.
const maxFailureDelay = 1500 * time.Millisecond

// backoffs holds, for each Reason, the delay after which a reader may again follow a source that it left for the
// reason.
var backoffs = [...]backoff{
	Failed:  {250 * time.Millisecond, maxFailureDelay},
	Silent:  {500 * time.Millisecond, maxFailureDelay},
	Behind:  {250 * time.Millisecond, time.Second}, // the source will soon receive the version that it lacks
	Invalid: {2 * time.Second, 30 * time.Second},
	Stale:   {time.Second, time.Second}, // the source answers, so it is better than none if the current one fails
}

// backoff is a delay that doubles with each repetition, from min up to max.
type backoff struct{ min, max time.Duration }

// jitter is the share of each delay that is random.
const jitter = 0.5

// delay draws the delay after the given number of repetitions.
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
