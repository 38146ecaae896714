package choices

import (
	"time"

	"harepass/internal/test/fleetsim"
)

// situation plays a fleet of a size, whose members know their numbers or not, through what it meets.
type situation func(size fleetSize, numbered bool) (result, error)

const lostZone = 1

// atWork is a fleet at work, then with one node of ten that hangs.
func atWork(size fleetSize, numbered bool) (res result, err error) {
	f, err := size.newFleet(numbered)
	if err != nil {
		return res, err
	}
	f.Run(3 * time.Second)
	f.BeginMeasurement()
	f.Run(size.work)
	res.parts, res.jain = fleetsim.Imbalance(partsOf(f.Replicas))
	connections := f.Connections()
	res.connections, _ = fleetsim.Imbalance(connections)
	for _, n := range connections {
		res.open += n
	}
	res.worth = f.EarnedFraction()
	var hung []*fleetsim.Replica
	for i := 3; i < len(f.Replicas); i += 10 {
		f.Replicas[i].Unresponsive = true
		hung = append(hung, f.Replicas[i])
	}
	f.Run(8 * time.Second) // by then all have met them
	f.BeginMeasurement()
	f.Run(size.afterFault + 8*time.Second)
	res.trials, _ = fleetsim.Imbalance(partsOf(hung))
	res.load = f.PartsSent()
	return res, nil
}

// allCold is a fleet whose nodes have all just returned.
func allCold(size fleetSize, numbered bool) (res result, err error) {
	f, err := size.busyFleet(numbered)
	if err != nil {
		return res, err
	}
	for _, n := range f.Replicas {
		n.Restart(f.Now())
	}
	f.PublishEndpointList()
	f.Run(size.afterFault)
	for _, n := range f.Replicas {
		res.coldPressure = max(res.coldPressure, n.Pressure())
	}
	res.fallen = fallen(f.Replicas)
	return res, nil
}

// zoneLost is a fleet that loses a zone without a word, and gets it back cold.
func zoneLost(size fleetSize, numbered bool) (res result, err error) {
	f, err := size.busyFleet(numbered)
	if err != nil {
		return res, err
	}
	for _, n := range f.Replicas {
		n.Down = n.Zone == lostZone
	}
	f.Run(5 * time.Second)
	for _, n := range f.Replicas {
		if n.Down {
			n.Restart(f.Now())
			n.Down = false
			n.DropConnections()
		}
	}
	f.PublishEndpointList()
	f.Run(size.afterFault)
	res.zoneWorth = f.EarnedFraction()
	res.fallen = fallen(f.Replicas)
	return res, nil
}

// busyFleet is a fleet that has been at work for a while.
func (s fleetSize) busyFleet(numbered bool) (*fleetsim.Fleet, error) {
	f, err := s.newFleet(numbered)
	if err == nil {
		f.Run(4 * time.Second)
		f.BeginMeasurement()
	}
	return f, err
}

func partsOf(nodes []*fleetsim.Replica) (parts []float64) {
	for _, n := range nodes {
		parts = append(parts, float64(n.Parts))
	}
	return parts
}

// fallen counts the nodes that were sent more than makes them fall.
func fallen(nodes []*fleetsim.Replica) (count int) {
	for _, n := range nodes {
		if n.Pressure() > 1 {
			count++
		}
	}
	return count
}
