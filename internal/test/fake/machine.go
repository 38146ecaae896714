package fake

import (
	"math"
	"slices"
	"time"
)

// Machine is what a node's parts are done on, on any clock: cores that take one part at a time, a queue before them, and a
// capacity that rises after its start. What it has taken it does to the end.
type Machine struct {
	Work  time.Duration // of a part, on a core of a warm machine
	Cores int
	Queue int // parts that wait; more are turned away

	Since  time.Duration // its start; 0 for long ago
	Start  float64       // share of its capacity that it has then
	Warm   time.Duration // after this it has all of it
	Fall   float64       // sent more than this multiple of its present capacity
	Window time.Duration // for this long, it falls over

	free []time.Duration // by core, when it is idle
	cold []time.Duration // arrivals since it is cold
}

// Ramp is the share of its capacity that it has.
func (m *Machine) Ramp(now time.Duration) float64 {
	if m.Since == 0 || m.Warm == 0 {
		return 1
	}
	return min(1, m.Start+(1-m.Start)*(now-m.Since).Seconds()/m.Warm.Seconds())
}

// Take is when a part that arrives now is done; false where it is turned away.
func (m *Machine) Take(now time.Duration) (time.Duration, bool) {
	ramp := m.Ramp(now)
	if ramp < 1 {
		m.cold = append(m.cold, now)
	}
	if m.free == nil {
		m.free = make([]time.Duration, m.Cores)
	}
	work := time.Duration(float64(m.Work) / ramp)
	i := slices.Index(m.free, slices.Min(m.free))
	if m.free[i]-now > time.Duration(m.Queue)*work/time.Duration(m.Cores) {
		return now, false
	}
	m.free[i] = max(now, m.free[i]) + work
	return m.free[i], true
}

// Restart is a new process: idle, and cold from now on.
func (m *Machine) Restart(now time.Duration) { m.Since, m.free, m.cold = now, nil, nil }

// Pressure is the most that arrived within a window since the start, in what makes the machine fall.
func (m *Machine) Pressure() (worst float64) {
	from := 0
	for i, at := range m.cold {
		for at-m.cold[from] > m.Window {
			from++
		}
		worst = max(worst, float64(i-from+1)/m.Bears(m.cold[from]))
	}
	return worst
}

// Bears is how many parts in the window from then on it takes to make the machine fall: more than the N that are allowed by
// as much as is put down to chance, N + 2 root N + 2.
func (m *Machine) Bears(from time.Duration) float64 {
	n := m.Fall * m.Ramp(from) * float64(m.Cores) / m.Work.Seconds() * m.Window.Seconds()
	return n + 2*math.Sqrt(n) + 2
}
