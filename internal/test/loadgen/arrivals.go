package loadgen

import (
	"math/rand/v2"
	"slices"
	"time"
)

// arrival is a client's first attempt.
type arrival struct {
	at            time.Duration // when it is due, from the start of the run
	class, tenant int           // indices in the plan
	shard         int           // first shard that the query covers
}

// arrivals draws all first attempts, sorted by the instant at which they are due. Each pair of class and tenant has its
// own random stream, so that a burst of one pair does not change the arrivals of the others.
func (p *Plan) arrivals() (list []arrival) {
	for c, class := range p.Classes {
		for t, tenant := range p.Tenants {
			if rate := p.Rate * class.Share * tenant.Share; rate > 0 {
				list = append(list, p.drawArrivals(c, t, rate)...)
			}
		}
	}
	slices.SortStableFunc(list, func(x, y arrival) int { return int(x.at - y.at) })
	return list
}

// drawArrivals draws the first attempts of a class and tenant whose usual rate is given in queries per second. It draws
// at the greatest rate that the bursts reach, and drops arrivals at random where the rate is lower.
func (p *Plan) drawArrivals(class, tenant int, rate float64) (list []arrival) {
	rng := rand.New(rand.NewPCG(p.Seed, uint64(class<<16|tenant)))
	name := p.Tenants[tenant].Name
	maxFactor := p.maxTrafficFactor(name)
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / (rate * maxFactor) * float64(time.Second))
		if at >= p.Duration {
			return list
		}
		shard := rng.IntN(p.Classes[class].Shards)
		if rng.Float64()*maxFactor < p.trafficFactor(name, at) {
			list = append(list, arrival{at, class, tenant, shard})
		}
	}
}
