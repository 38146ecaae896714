package failover

// Locality is where a reader or a source runs. Zones of one name in two regions are different zones.
type Locality struct {
	Zone   string
	Region string
}

// Source is one that may be followed.
type Source struct {
	Address string // host and port
	Locality
}

// distance orders sources by their locality; the nearest is the lowest.
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
