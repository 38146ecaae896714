// Package quotaledger counts what tenants' queries are worth, by the second: what goes beyond a tenant's share is worth little.
package quotaledger

import "time"

// overShareDivisor tells what a query beyond its tenant's share is worth: so small a part of one within it.
const overShareDivisor = 20

// Ledger holds the queries of each tenant by seconds.
type Ledger map[string]map[int]*Second

// Second is what a tenant had in one second.
type Second struct {
	Queries float64
	Worth   float64
}

// Add books a query of a tenant.
func (l Ledger) Add(tenant string, at time.Duration, worth float64) {
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
	second.Worth += worth
}

// Sum is a tenant's worth, given its share in queries a second; 0 is no limit.
func (l Ledger) Sum(tenant string, share float64) (worth float64) {
	for _, s := range l[tenant] {
		if over := s.Queries - share; share > 0 && over > 0 {
			worth += s.Worth * (share + over/overShareDivisor) / s.Queries
		} else {
			worth += s.Worth
		}
	}
	return worth
}
