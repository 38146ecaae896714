package twophase

import "math"

// Evidence is what a node's answer tells of its section, on any wire.
type Evidence struct {
	Readable  bool  // it could be read, and speaks for the whole section
	Matches   int64 // exact number of hits; -1 if that is not told
	Versioned bool  // every document has a version, and Version sums them up
	Version   Version
}

// Version sums up the versions of a section's documents. Writers give each change of a document a version that
// is higher than any in the section. So a change raises Max, and a deletion alone, which Max may not show,
// lowers Docs. Least and Sum guard against writers that do not keep to this.
type Version struct {
	Docs          int64
	Max, Min, Sum float64
}

const exact = 1 << 53 // beyond this, neighbouring versions look alike

// Valid tells whether a version can be told from others: finite, and not so large that digits are lost.
func (v Version) Valid() bool {
	for _, f := range []float64{v.Max, v.Min} {
		if math.IsNaN(f) || math.Abs(f) > exact {
			return false
		}
	}
	return v.Docs >= 0 && !math.IsNaN(v.Sum) && !math.IsInf(v.Sum, 0) && v.Min <= v.Max
}

// order is how a state of a section lies to another.
type order int

const (
	same order = iota
	newer
	older   // or its newest document was deleted: that looks the same
	foreign // neither can have become the other, if writers keep to the rule
)

// to compares a version with that of a state known before.
func (v Version) to(o Version) order {
	switch {
	case v == o:
		return same
	case v.Max > o.Max:
		return newer
	case v.Max < o.Max:
		return older
	case v.Docs < o.Docs: // documents were deleted, none was changed
		return newer
	case v.Docs > o.Docs:
		return older
	}
	return foreign
}
