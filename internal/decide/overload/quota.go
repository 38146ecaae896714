package overload

import "time"

const (
	// burstSeconds is the burst that a tenant's quota allows, in seconds of the quota.
	burstSeconds = 1.0
	// minBurst is the smallest burst that a quota allows, in queries, because a few queries arrive together by chance.
	minBurst = 3.0
)

// tenantQuota is a token bucket that determines whether a tenant is within its quota. It rejects no query itself: its
// result only affects the query's score. Package scatter counts the admitted queries in a bucket of its own.
type tenantQuota struct {
	perSecond  float64       // queries per second
	burst      float64       // capacity of the bucket, in queries
	tokens     float64       // queries left within the quota; below 0 if protected queries have overdrawn it
	refilledAt time.Duration // when tokens were last added
}

// newTenantQuota returns a quota that keeps the tokens of old; old is nil for a new tenant.
func newTenantQuota(perSecond float64, old *tenantQuota) *tenantQuota {
	burst := max(burstSeconds*perSecond, minBurst)
	q := &tenantQuota{perSecond: perSecond, burst: burst, tokens: burst}
	if old != nil {
		q.tokens, q.refilledAt = min(burst, old.tokens), old.refilledAt
	}
	return q
}

// take reports whether a query is within the quota, and counts it if so. A non-idempotent query may overdraw the bucket
// by up to its capacity. A client's repeat takes no token, because it belongs to a query that was counted before.
func (q *tenantQuota) take(nonIdempotent, isRepeat bool, now time.Duration) bool {
	q.tokens = min(q.burst, q.tokens+q.perSecond*(now-q.refilledAt).Seconds())
	q.refilledAt = now
	if q.tokens < 1 && !(nonIdempotent && q.tokens >= 1-q.burst) {
		return false
	}
	if !isRepeat {
		q.tokens--
	}
	return true
}

// chargeQuota counts an arrival towards its tenant's quota and reports whether it is within the quota. An arrival of an
// unknown tenant is beyond the quota; if no tenants are configured, every arrival is within it.
func (c *Controller) chargeQuota(a Arrival, nonIdempotent bool, now time.Duration) bool {
	q := c.tenants[a.Tenant]
	if q == nil {
		return len(c.tenants) == 0
	}
	return q.take(nonIdempotent, a.IsRepeat, now)
}
