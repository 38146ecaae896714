package failover

// Locality is where a reader or a source runs. Zones with the same name in two regions are different zones.
type Locality struct {
	Zone   string
	Region string
}

// Source is a source that a reader may follow.
type Source struct {
	Address string // host and port
	Locality
}

// distance orders sources by their locality; the nearest sources have the lowest value.
type distance int

const (
	sameZone distance = iota
	sameRegion
	otherRegion
)

func distanceOf(own, other Locality) distance {
	switch {
	case own.Region != other.Region:
		return otherRegion
	case own.Zone != other.Zone:
		return sameRegion
	}
	return sameZone
}
