package scatter

import "time"

// trafficRates are what this coordinator sends to one replica, in the mean. They are in parts a rebalanceInterval,
// which is one second. Each moving mean gains with its first
// intervals: what a young coordinator has seen counts in full.
type trafficRates struct {
	served       float64 // parts that warmed up replicas have served in this interval
	demand       float64 // parts of admitted queries in this interval, for each ready replica
	warmedUpRate float64 // parts a second served by each warmed up replica
	demandRate   float64 // parts a second of admitted queries for each ready replica
	intervals    float64 // so many have passed
}

// admitted counts the parts of an admitted query that go to some number of ready replicas.
func (t *trafficRates) admitted(parts, ready int) {
	t.demand += float64(parts) / max(1, float64(ready))
}

// renew ends an interval, with so many warmed up replicas.
func (t *trafficRates) renew(warmedUp float64) {
	gain := max(1-rateMemory, 1/(t.intervals+1))
	t.warmedUpRate += gain * (t.served/max(1, warmedUp) - t.warmedUpRate)
	t.demandRate += gain * (t.demand - t.demandRate)
	t.served, t.demand, t.intervals = 0, 0, t.intervals+1
}

// observed is for how long traffic has been counted, less one interval.
func (t *trafficRates) observed() time.Duration {
	return time.Duration(t.intervals-1) * rebalanceInterval
}
