package relay

import "harepass/internal/decide/versionlog"

const (
	// maxBody is the protocol's size limit of an answer's body, in bytes.
	maxBody = 64 << 10
	// maxSliceBytes is the size limit of an answer's entries, in bytes.
	maxSliceBytes = maxBody - versionlog.MaxEnvelopeBytes
	// maxCachedSlices is how many encoded slices of one version are cached. Further slices are encoded for each reader.
	maxCachedSlices = 64
)

// sliceCache holds the encoded slices of one version of a log. It is cleared when the log changes.
type sliceCache map[sliceKey]encodedSlice

// sliceKey identifies a slice of one version of a log: it depends on what the reader has.
type sliceKey struct {
	from versionlog.Version // version that the reader has
	base int64              // index of the log's version when the reader's snapshot began; 0 outside a snapshot
}

// encodedSlice is a slice as JSON.
type encodedSlice struct {
	body    []byte
	entries int // number of entries in the slice
}

// slice returns the next slice for a reader with a cursor. log must be the log that the cache belongs to. cached is
// false if the slice had to be encoded. The cursor's NewestIndex is not part of the key, because it does not affect
// what log.Read returns.
func (c sliceCache) slice(log *versionlog.Log, from versionlog.Cursor) (slice encodedSlice, cached bool) {
	key := sliceKey{from.Version, from.Base}
	if slice, cached := c[key]; cached {
		return slice, true
	}
	read := log.Read(from, maxSliceBytes)
	slice = encodedSlice{body: read.AppendJSON(nil), entries: len(read.Entries)}
	if len(c) < maxCachedSlices {
		c[key] = slice
	}
	return slice, false
}
