package failover

import (
	"math/rand/v2"
	"time"
)

const (
	// returnSpread is the time over which the readers of farther sources return to a nearer one.
	returnSpread = 3 * time.Second
	// stableAfter is how long a source must serve before its earlier failures no longer count.
	stableAfter = 5 * time.Second
	// maxRejections is the number of consecutive rejections by a nearer source after which a reader asks a farther one.
	// A source that will have capacity for the reader usually rejects it only once.
	maxRejections = 4
	// maxFailures bounds the count of failures. At this count every backoff has reached its longest delay.
	maxFailures = 16
)

// candidate is what a reader knows about one source. Instants are readings of the caller's clock.
type candidate struct {
	Source
	distance     distance
	failures     int           // failures since the source was last stable, up to maxFailures
	rejections   int           // consecutive rejections because the source lacked capacity
	retryAt      time.Duration // earliest instant at which a reader without a source follows it
	returnAt     time.Duration // earliest instant at which a reader of a farther source probes it
	serving      bool          // the source has answered since the reader began to follow it
	servingSince time.Duration // instant of the first answer since the reader began to follow the source
	lagging      bool          // the reader left or passed over it as Stale, and it has not been clearly fresh since
}

// succeeded records a good answer of the source.
func (c *candidate) succeeded(now time.Duration) {
	c.rejections = 0
	if !c.serving {
		c.serving, c.servingSince = true, now
	}
	if now-c.servingSince >= stableAfter {
		c.failures = 0
	}
}

// rejected records that the source has no capacity for the reader, and that it asked the reader to call again after
// retryAfter.
func (c *candidate) rejected(now, retryAfter time.Duration, rng *rand.Rand) {
	c.rejections++
	c.retryAt = now + retryAfter
	c.returnAt = c.retryAt + draw(rng, returnSpread)
}

// failed records that the reader cannot follow the source now, and draws the instants from which it may follow or probe
// the source again. A stale source has not failed, so its backoff does not grow.
func (c *candidate) failed(now time.Duration, reason Reason, rng *rand.Rand) {
	delay := backoffs[reason].delay(c.failures, rng)
	if reason == Stale {
		c.lagging = true
	} else {
		c.failures = min(c.failures+1, maxFailures)
	}
	c.rejections = 0
	c.retryAt = now + delay
	c.returnAt = c.retryAt + draw(rng, returnSpread)
}

// awaitsCapacity reports whether the source has rejected the reader, but fewer than maxRejections times in a row, so
// that the reader waits for it instead of asking a farther one.
func (c *candidate) awaitsCapacity() bool { return c.rejections > 0 && c.rejections < maxRejections }
