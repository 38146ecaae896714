// Package quotaledger sums the priority weights of tenants' queries by second. Queries beyond a tenant's quota count
// with a reduced weight.
package quotaledger

import "time"

// overQuotaDivisor divides the priority weight of a query beyond its tenant's quota.
const overQuotaDivisor = 20

// Ledger holds the queries of each tenant, by tenant and by the second in which they arrived. It is not safe for
// concurrent use.
type Ledger map[string]map[int]*Second

// Second sums the queries of a tenant in one second.
type Second struct {
	Queries float64
	Weight  float64 // sum of the queries' priority weights
}

// Add counts a query that a tenant sent at an instant.
func (l Ledger) Add(tenant string, at time.Duration, weight float64) {
	if l[tenant] == nil {
		l[tenant] = map[int]*Second{}
	}
	number := int(at / time.Second)
	second := l[tenant][number]
	if second == nil {
		second = &Second{}
		l[tenant][number] = second
	}
	second.Queries++
	second.Weight += weight
}

// Sum returns the total priority weight of a tenant's queries, reduced for those beyond its quota in queries per
// second. A quota of 0 means no limit.
func (l Ledger) Sum(tenant string, quota float64) (weight float64) {
	for _, s := range l[tenant] {
		weight += s.within(quota)
	}
	return weight
}

// within returns the second's weight, reduced for the queries beyond a quota. All queries of a second count with their
// mean weight, because their order does not determine which of them the quota covers.
func (s Second) within(quota float64) float64 {
	over := s.Queries - quota
	if quota <= 0 || over <= 0 {
		return s.Weight
	}
	return s.Weight * (quota + over/overQuotaDivisor) / s.Queries
}
