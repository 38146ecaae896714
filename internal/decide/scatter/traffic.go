package scatter

import "time"

// trafficRates are moving averages of what this coordinator sends to one replica, in parts per rebalanceInterval, which
// is one second. In the first intervals each average weighs all of them equally: what a young coordinator has seen
// counts in full.
type trafficRates struct {
	served       float64 // parts served by warmed up replicas in this interval
	demand       float64 // parts of admitted queries in this interval, for each usable replica (see admitted)
	warmedUpRate float64 // parts per second served by each warmed up replica
	demandRate   float64 // parts per second of admitted queries for each usable replica (see admitted)
	intervals    float64 // how many have passed
}

// admitted counts the parts of an admitted query, divided by the number of usable replicas, or by RingSize if that is
// less (the caller passes the smaller one).
func (t *trafficRates) admitted(parts, usable int) {
	t.demand += float64(parts) / max(1, float64(usable))
}

// renew ends an interval and updates the averages, given the number of warmed up replicas.
func (t *trafficRates) renew(warmedUp float64) {
	gain := max(1-rateMemory, 1/(t.intervals+1))
	t.warmedUpRate += gain * (t.served/max(1, warmedUp) - t.warmedUpRate)
	t.demandRate += gain * (t.demand - t.demandRate)
	t.served, t.demand, t.intervals = 0, 0, t.intervals+1
}

// observed returns how long traffic has been counted, less one interval.
func (t *trafficRates) observed() time.Duration {
	return time.Duration(t.intervals-1) * rebalanceInterval
}
