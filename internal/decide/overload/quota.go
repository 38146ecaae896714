package overload

import "time"

const (
	// burstSeconds is how far ahead of its quota a tenant may run, in seconds of the quota.
	burstSeconds = 1.0
	// minBurst is how far ahead of its quota a tenant may run at least, in queries: a few arrive together by chance.
	minBurst = 3.0
)

// tenantQuota is a token bucket that shows whether a tenant is within its quota. It rejects nothing by itself: it only
// gives a query its standing. Package scatter counts the queries that were admitted by a bucket of its own.
type tenantQuota struct {
	perSecond  float64       // queries a second
	burst      float64       // queries that the bucket holds at most
	tokens     float64       // queries that may still come; below 0 where protected ones have overdrawn it
	refilledAt time.Duration // when tokens were last added
}

// newTenantQuota returns a quota that keeps the tokens of old; nil where the tenant is new.
func newTenantQuota(perSecond float64, old *tenantQuota) *tenantQuota {
	burst := max(burstSeconds*perSecond, minBurst)
	q := &tenantQuota{perSecond: perSecond, burst: burst, tokens: burst}
	if old != nil {
		q.tokens, q.refilledAt = min(burst, old.tokens), old.refilledAt
	}
	return q
}

// take reports whether a query lies within the quota, and counts it if so. A non-idempotent query may overdraw the
// bucket by as much as it holds. A client's repeat belongs to a query that was counted, and costs
// nothing.
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

// chargeQuota counts an arrival towards its tenant's quota and reports whether it lies within. Where there are tenants,
// an unknown one has no quota; where there are none, everything is within.
func (c *Controller) chargeQuota(a Arrival, nonIdempotent bool, now time.Duration) bool {
	q := c.tenants[a.Tenant]
	if q == nil {
		return len(c.tenants) == 0
	}
	return q.take(nonIdempotent, a.IsRepeat, now)
}
