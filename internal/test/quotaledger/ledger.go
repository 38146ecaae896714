// Package quotaledger sums the priority weights of tenants' queries by the second. What a tenant sends beyond its quota
// counts for little.
package quotaledger

import "time"

// overQuotaDivisor divides the priority weight of a query beyond its tenant's quota.
const overQuotaDivisor = 20

// Ledger has the queries of each tenant: by tenant, then by the second in which they came. It is not safe for
// concurrent use.
type Ledger map[string]map[int]*Second

// Second is what a tenant had in one second.
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

// Sum returns the priority weight of a tenant's queries, reduced for those beyond its quota in queries a second. A
// quota of 0 sets no limit.
func (l Ledger) Sum(tenant string, quota float64) (weight float64) {
	for _, s := range l[tenant] {
		weight += s.within(quota)
	}
	return weight
}

// within returns the second's weight, reduced for the queries beyond a quota. All queries of a second count alike, with
// their mean weight, because their order does not say which of them the quota covers.
func (s Second) within(quota float64) float64 {
	over := s.Queries - quota
	if quota <= 0 || over <= 0 {
		return s.Weight
	}
	return s.Weight * (quota + over/overQuotaDivisor) / s.Queries
}
