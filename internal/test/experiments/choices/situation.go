package choices

import (
	"time"

	"harepass/internal/test/fleetsim"
)

// situation simulates one situation for a fleet of a size. knowOrdinals states whether its coordinators know their
// ordinals.
type situation func(size fleetSize, knowOrdinals bool) (result, error)

const (
	lostZone   = 1
	zoneOutage = 5 * time.Second

	// Every tenth replica becomes unresponsive, starting with the fourth.
	firstUnresponsive = 3
	unresponsiveStep  = 10
	// detectionTime is long enough for all coordinators to eject the unresponsive replicas.
	detectionTime = 8 * time.Second
	// probingTime is added to afterFault for the span in which probes of the unresponsive replicas are counted.
	probingTime = 8 * time.Second
)

// normalOperation simulates a fleet in normal operation, and then with a tenth of its replicas unresponsive.
func normalOperation(size fleetSize, knowOrdinals bool) (res result, err error) {
	f, err := size.newFleet(knowOrdinals)
	if err != nil {
		return res, err
	}
	f.Run(3 * time.Second)
	f.BeginMeasurement()
	f.Run(size.normalSpan)
	res.partImbalance, res.partFairness = fleetsim.Imbalance(partsOf(f.Replicas))
	connections := f.Connections()
	res.connectionImbalance, _ = fleetsim.Imbalance(connections)
	for _, n := range connections {
		res.connections += n
	}
	res.earnedFraction = f.EarnedFraction()
	var unresponsive []*fleetsim.Replica
	for i := firstUnresponsive; i < len(f.Replicas); i += unresponsiveStep {
		f.Replicas[i].Unresponsive = true
		unresponsive = append(unresponsive, f.Replicas[i])
	}
	f.Run(detectionTime)
	f.BeginMeasurement()
	f.Run(size.afterFault + probingTime)
	res.probeImbalance, _ = fleetsim.Imbalance(partsOf(unresponsive))
	res.partsSent = f.PartsSent()
	return res, nil
}

// allRestarted simulates a fleet whose replicas all restart at once.
func allRestarted(size fleetSize, knowOrdinals bool) (res result, err error) {
	f, err := size.busyFleet(knowOrdinals)
	if err != nil {
		return res, err
	}
	for _, r := range f.Replicas {
		r.Restart(f.Now())
	}
	f.PublishEndpointList()
	f.Run(size.afterFault)
	for _, r := range f.Replicas {
		res.slowStartPressure = max(res.slowStartPressure, r.OverloadRatio())
	}
	res.overloadedReplicas = countOverloaded(f.Replicas)
	return res, nil
}

// zoneLost simulates a fleet that loses a zone and gets it back with all its replicas restarted. Discovery does not
// report the loss.
func zoneLost(size fleetSize, knowOrdinals bool) (res result, err error) {
	f, err := size.busyFleet(knowOrdinals)
	if err != nil {
		return res, err
	}
	for _, r := range f.Replicas {
		r.Down = r.Zone == lostZone
	}
	f.Run(zoneOutage)
	for _, r := range f.Replicas {
		if r.Down {
			r.Restart(f.Now())
			r.Down = false
			r.DropConnections()
		}
	}
	f.PublishEndpointList()
	f.Run(size.afterFault)
	res.zoneLostFraction = f.EarnedFraction()
	res.overloadedReplicas = countOverloaded(f.Replicas)
	return res, nil
}

// partsOf returns the number of parts sent to each replica since the measurement began.
func partsOf(replicas []*fleetsim.Replica) (parts []float64) {
	for _, r := range replicas {
		parts = append(parts, float64(r.Parts))
	}
	return parts
}

// countOverloaded counts the replicas that got more parts in their slow start than they tolerate.
func countOverloaded(replicas []*fleetsim.Replica) (overloaded int) {
	for _, r := range replicas {
		if r.OverloadRatio() > 1 {
			overloaded++
		}
	}
	return overloaded
}
