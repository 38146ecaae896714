package loadgen

import (
	"math/rand/v2"
	"slices"
	"time"
)

// arrival is a client's first try.
type arrival struct {
	at            time.Duration
	class, tenant int
	section       int
}

// arrivals draws all of them. Each pair of class and tenant has a stream of its own: a burst of one leaves the others as they were.
func (p *Plan) arrivals() (list []arrival) {
	for c, class := range p.Classes {
		for t, tenant := range p.Tenants {
			usual := p.Rate * class.Share * tenant.Share
			if usual == 0 {
				continue
			}
			rng := rand.New(rand.NewPCG(p.Seed, uint64(c<<16|t)))
			most := 1.0
			for _, b := range p.Bursts {
				if b.Tenant == "" || b.Tenant == tenant.Name {
					most *= max(1, b.Factor)
				}
			}
			for at := time.Duration(0); ; { // thinned from the most there is
				at += time.Duration(rng.ExpFloat64() / (usual * most) * float64(time.Second))
				if at >= p.Time {
					break
				}
				section := rng.IntN(class.Of)
				if rng.Float64()*most < p.factor(tenant.Name, at) {
					list = append(list, arrival{at, c, t, section})
				}
			}
		}
	}
	slices.SortStableFunc(list, func(x, y arrival) int { return int(x.at - y.at) })
	return list
}
