package failover

import (
	"math/rand/v2"
	"time"
)

const (
	// returnSpread is the time over which readers return to a nearer source.
	returnSpread = 3 * time.Second
	// stableAfter is how long a source has to serve until its earlier failures no longer count.
	stableAfter = 5 * time.Second
	// maxRejections is how many rejections in a row a reader accepts from a nearer source before it asks a farther one.
	// A source that is going to have capacity for the reader rejects it once as a rule.
	maxRejections = 4
	// maxFailures bounds the count of failures. Every backoff has reached its longest delay by then.
	maxFailures = 16
)

// candidate is what a reader knows of one source. Instants are readings of the caller's clock.
type candidate struct {
	Source
	distance     distance
	failures     int           // failures since the source was stable last, up to maxFailures
	rejections   int           // rejections for want of capacity, in a row
	retryAt      time.Duration // earliest instant at which a reader without a source follows it
	returnAt     time.Duration // earliest instant at which a reader of a farther source probes it
	serving      bool          // the source has answered since it was last followed
	servingSince time.Duration // instant of its first answer since it was last followed
	lagging      bool          // it was left or turned down as Stale, and has not been clearly fresh since
}

// succeeded records a good answer.
func (c *candidate) succeeded(now time.Duration) {
	c.rejections = 0
	if !c.serving {
		c.serving, c.servingSince = true, now
	}
	if now-c.servingSince >= stableAfter {
		c.failures = 0
	}
}

// rejected records that the source has no capacity for the reader, and when it asked to be called again.
func (c *candidate) rejected(now, retryAfter time.Duration, rng *rand.Rand) {
	c.rejections++
	c.retryAt = now + retryAfter
	c.returnAt = c.retryAt + draw(rng, returnSpread)
}

// failed records that the source is not fit to be followed, and draws when it may be again. A stale source is not a
// failing one, so its backoff does not grow.
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

// awaitsCapacity reports whether the source has rejected the reader, but not so often that a farther one is to be
// asked.
func (c *candidate) awaitsCapacity() bool { return c.rejections > 0 && c.rejections < maxRejections }
