package fake

import (
	"math"
	"slices"
	"time"
)

// Machine is what a replica's parts are worked on with, on any clock: cores that take one part at a time, a queue
// before them, and a slow start. It finishes every part that it accepts. Instants are readings of the caller's clock,
// which never goes back.
type Machine struct {
	ServiceTime time.Duration // of a part, on a core of a machine that is warmed up
	Cores       int
	QueueLength int // parts that may wait; more are rejected

	StartedAt       time.Duration // when the process started; 0 for long ago
	InitialCapacity float64       // share of its capacity that a process has when it starts
	SlowStart       time.Duration // after which a process has all of its capacity; 0 for at once
	OverloadFactor  float64       // multiple of its present capacity that a process in slow start cannot bear
	OverloadWindow  time.Duration // for which it would have to bear it before it falls over

	idleAt            []time.Duration // when each core is idle
	slowStartArrivals []time.Duration // arrivals during the present slow start, oldest first
}

// Capacity is the share of its capacity that the machine has at now.
func (m *Machine) Capacity(now time.Duration) float64 {
	if m.StartedAt == 0 || m.SlowStart == 0 {
		return 1
	}
	running := (now - m.StartedAt).Seconds()
	return min(1, m.InitialCapacity+(1-m.InitialCapacity)*running/m.SlowStart.Seconds())
}

// Accept returns when a part that arrives at now is done. It reports false where the part is rejected, since too many
// wait.
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

// Restart makes the machine a new process that starts at now: idle, and in slow start.
func (m *Machine) Restart(now time.Duration) {
	m.StartedAt, m.idleAt, m.slowStartArrivals = now, nil, nil
}

// Pressure is the greatest number of arrivals in a window of the present slow start, as a multiple of what the machine
// tolerates. It falls over above 1.
func (m *Machine) Pressure() (greatest float64) {
	from := 0
	for i, at := range m.slowStartArrivals {
		for at-m.slowStartArrivals[from] > m.OverloadWindow {
			from++
		}
		greatest = max(greatest, float64(i-from+1)/m.Tolerates(m.slowStartArrivals[from]))
	}
	return greatest
}

// Tolerates is how many arrivals the machine tolerates in the window that begins at from. To the N that its overload
// factor grants, 2 root N + 2 are added: so many more may come by chance.
func (m *Machine) Tolerates(from time.Duration) float64 {
	perSecond := m.OverloadFactor * m.Capacity(from) * float64(m.Cores) / m.ServiceTime.Seconds()
	n := perSecond * m.OverloadWindow.Seconds()
	return n + 2*math.Sqrt(n) + 2
}
