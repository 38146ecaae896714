package twophase

import "math"

// Version sums up the versions of a shard's documents. Writers give each change of a document a version that is higher
// than any in the shard. So a change raises Max, and a deletion, which Max may not show, lowers Docs. Min and Sum guard
// against writers that give a version twice: two states then agree in Max and Docs, and would pass for one.
type Version struct {
	Docs int64   // number of documents
	Max  float64 // highest version
	Min  float64 // lowest version
	Sum  float64 // sum of the versions
}

// maxExact is the highest version that a float64 tells from its neighbours.
const maxExact = 1 << 53

// Valid reports whether a version can be told from others: its figures are finite, and no digits are lost.
func (v Version) Valid() bool {
	for _, f := range []float64{v.Max, v.Min} {
		if math.IsNaN(f) || math.Abs(f) > maxExact {
			return false
		}
	}
	return v.Docs >= 0 && !math.IsNaN(v.Sum) && !math.IsInf(v.Sum, 0) && v.Min <= v.Max
}

// relation is how one state of a shard lies to another.
type relation int

const (
	same        relation = iota
	newer                // it followed the other state
	older                // it came before the other state, or the newest document was deleted: both look alike
	conflicting          // neither can have become the other, unless a version was given twice
)

// relationTo compares a version with that of a state seen before.
func (v Version) relationTo(o Version) relation {
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
	return conflicting
}
