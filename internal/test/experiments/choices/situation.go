package choices

import (
	"time"

	"harepass/internal/test/fleetsim"
)

// situation plays a fleet of a size, whose coordinators know their ordinals or not, through what it meets.
type situation func(size fleetSize, knowOrdinals bool) (result, error)

const (
	lostZone   = 1
	zoneOutage = 5 * time.Second

	// Every tenth replica becomes unresponsive, from the fourth on.
	firstUnresponsive = 3
	unresponsiveStep  = 10
	// detectionTime is time enough for all coordinators to have ejected the unresponsive replicas.
	detectionTime = 8 * time.Second
	// probingTime is how much longer than afterFault the probes of the unresponsive replicas are counted.
	probingTime = 8 * time.Second
)

// atWork plays a fleet at work, then with a tenth of its replicas unresponsive.
func atWork(size fleetSize, knowOrdinals bool) (res result, err error) {
	f, err := size.newFleet(knowOrdinals)
	if err != nil {
		return res, err
	}
	f.Run(3 * time.Second)
	f.BeginMeasurement()
	f.Run(size.work)
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

// allRestarted plays a fleet whose replicas have all just restarted.
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
		res.slowStartPressure = max(res.slowStartPressure, r.Pressure())
	}
	res.overloadedReplicas = countOverloaded(f.Replicas)
	return res, nil
}

// zoneLost plays a fleet that loses a zone, of which discovery says nothing, and gets it back with all its replicas
// restarted.
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

// partsOf returns the parts sent to each of some replicas since the measurement began.
func partsOf(replicas []*fleetsim.Replica) (parts []float64) {
	for _, r := range replicas {
		parts = append(parts, float64(r.Parts))
	}
	return parts
}

// countOverloaded counts the replicas that got more parts in their slow start than they tolerate.
func countOverloaded(replicas []*fleetsim.Replica) (overloaded int) {
	for _, r := range replicas {
		if r.Pressure() > 1 {
			overloaded++
		}
	}
	return overloaded
}
