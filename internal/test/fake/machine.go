package fake

import (
	"math"
	"slices"
	"time"
)

// Machine models how a replica processes its parts, on any clock: cores that process one part at a time, a queue before
// them, and a slow start. It finishes every part that it accepts. Instants are readings of the caller's clock, which
// never goes back.
type Machine struct {
	ServiceTime time.Duration // of a part on one core of a warmed-up machine
	Cores       int
	QueueLength int // how many parts may wait; further parts are rejected

	StartedAt       time.Duration // start of the process; 0 for long ago
	InitialCapacity float64       // share of its full capacity that a process has at its start
	SlowStart       time.Duration // time until a process has its full capacity; 0 for at once
	OverloadFactor  float64       // multiple of its present capacity at which arrivals overload a process in slow start
	OverloadWindow  time.Duration // how long arrivals must reach that multiple before the process fails

	idleAt            []time.Duration // when each core becomes idle
	slowStartArrivals []time.Duration // instants of arrivals in the present slow start, oldest first
}

// Capacity returns the share of its full capacity that the machine has at now.
func (m *Machine) Capacity(now time.Duration) float64 {
	if m.StartedAt == 0 || m.SlowStart == 0 {
		return 1
	}
	running := (now - m.StartedAt).Seconds()
	return min(1, m.InitialCapacity+(1-m.InitialCapacity)*running/m.SlowStart.Seconds())
}

// Accept returns when a part that arrives at now is finished. It reports false if the part is rejected because the
// queue is full.
func (m *Machine) Accept(now time.Duration) (done time.Duration, accepted bool) {
	capacity := m.Capacity(now)
	if capacity < 1 {
		m.slowStartArrivals = append(m.slowStartArrivals, now)
	}
	if m.idleAt == nil {
		m.idleAt = make([]time.Duration, m.Cores)
	}
	serviceTime := time.Duration(float64(m.ServiceTime) / capacity)
	core := slices.Index(m.idleAt, slices.Min(m.idleAt))
	if m.idleAt[core]-now > time.Duration(m.QueueLength)*serviceTime/time.Duration(m.Cores) {
		return now, false
	}
	m.idleAt[core] = max(now, m.idleAt[core]) + serviceTime
	return m.idleAt[core], true
}

// Restart replaces the process with a new one that starts at now, idle and in slow start.
func (m *Machine) Restart(now time.Duration) {
	m.StartedAt, m.idleAt, m.slowStartArrivals = now, nil, nil
}

// OverloadRatio returns the greatest number of arrivals in a window of the present slow start, as a multiple of what
// the machine tolerates. Above 1 the process fails.
func (m *Machine) OverloadRatio() (greatest float64) {
	from := 0
	for i, at := range m.slowStartArrivals {
		for at-m.slowStartArrivals[from] > m.OverloadWindow {
			from++
		}
		greatest = max(greatest, float64(i-from+1)/m.Tolerates(m.slowStartArrivals[from]))
	}
	return greatest
}

// Tolerates returns how many arrivals the machine tolerates in the window that begins at from. It adds 2 root N + 2 to
// the N arrivals that OverloadFactor permits, because random arrivals may exceed N by that many.
func (m *Machine) Tolerates(from time.Duration) float64 {
	perSecond := m.OverloadFactor * m.Capacity(from) * float64(m.Cores) / m.ServiceTime.Seconds()
	n := perSecond * m.OverloadWindow.Seconds()
	return n + 2*math.Sqrt(n) + 2
}
