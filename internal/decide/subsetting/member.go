package subsetting

// Member is a coordinator's membership of a fleet. The zero value is a coordinator that knows no other coordinators.
type Member struct {
	Index     int // from 0; negative if the coordinator does not know it
	FleetSize int // number of coordinators
}

// HasPeers reports whether the coordinator knows its index in a fleet of several coordinators. A coordinator without
// peers makes its choices alone.
func (m Member) HasPeers() bool { return m.FleetSize > 1 && m.Index >= 0 && m.Index < m.FleetSize }

// at returns the member's position on the circle; 0 for a member without peers. An arc of length a contains a*FleetSize
// members, rounded up or down.
func (m Member) at() float64 {
	if !m.HasPeers() {
		return 0
	}
	return (float64(m.Index) + 0.5) / float64(m.FleetSize)
}

// Offset is a coordinator's position on the circle, in [0, 1), among the coordinators that share one thing. Their
// offsets are spaced evenly. The coordinators whose subsets contain a given replica form an arc of all members, so what
// they share is divided by their offsets within that arc (Subset.Offset).
type Offset float64

// Offset returns the coordinator's offset among all coordinators.
func (m Member) Offset() Offset { return Offset(m.at()) }
