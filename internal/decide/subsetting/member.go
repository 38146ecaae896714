package subsetting

// Member is a coordinator as one of a fleet. The zero value is a coordinator that knows of no others.
type Member struct {
	Index     int // from 0; negative if the coordinator does not know it
	FleetSize int // number of coordinators
}

// HasPeers reports whether the coordinator knows its index in a fleet of several. Others make their choices alone.
func (m Member) HasPeers() bool { return m.FleetSize > 1 && m.Index >= 0 && m.Index < m.FleetSize }

// at is where the member lies on the circle; 0 for one without peers. An arc of length a has a times FleetSize members,
// rounded up or down.
func (m Member) at() float64 {
	if !m.HasPeers() {
		return 0
	}
	return (float64(m.Index) + 0.5) / float64(m.FleetSize)
}

// Offset is where a coordinator lies on the circle among those that share one thing, in [0, 1). They lie at equal
// distances. The coordinators whose subsets contain one replica are an arc of all members, so what they share is
// divided by their offsets within that arc (Subset.Offset).
type Offset float64

// Offset returns the coordinator's offset among all coordinators.
func (m Member) Offset() Offset { return Offset(m.at()) }
