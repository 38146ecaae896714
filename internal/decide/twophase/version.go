package twophase

import "math"

// Version summarizes the versions of a shard's documents. Writers give each changed document a version that is higher
// than any in the shard. So a change raises Max, and a deletion lowers Docs but may leave Max as it is. Min and Sum
// protect against writers that assign a version twice: without them, two different states with equal Max and Docs would
// compare as the same.
type Version struct {
	Docs int64   // number of documents
	Max  float64 // highest version
	Min  float64 // lowest version
	Sum  float64 // sum of the versions
}

// maxExact is the highest version that a float64 distinguishes from both adjacent versions.
const maxExact = 1<<53 - 1

// Valid reports whether a version can be distinguished from others: its numbers are finite and lose no digits in a
// float64.
func (v Version) Valid() bool {
	for _, f := range []float64{v.Max, v.Min} {
		if math.IsNaN(f) || math.Abs(f) > maxExact {
			return false
		}
	}
	return v.Docs >= 0 && !math.IsNaN(v.Sum) && !math.IsInf(v.Sum, 0) && v.Min <= v.Max
}

// relation is how one state of a shard relates to another.
type relation int

const (
	same        relation = iota
	newer                // it is later than the other state
	older                // it is earlier than the other state, or the newest document was deleted: both look the same
	conflicting          // neither can have evolved into the other, unless a writer assigned a version twice
)

// relationTo compares a version with the version of a state seen before.
func (v Version) relationTo(o Version) relation {
	switch {
	case v == o:
		return same
	case v.Max > o.Max:
		return newer
	case v.Max < o.Max:
		return older
	case v.Docs < o.Docs: // documents were deleted, and none was changed
		return newer
	case v.Docs > o.Docs:
		return older
	}
	return conflicting
}
