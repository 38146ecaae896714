package relay

import "harepass/internal/decide/versionlog"

const (
	// maxBody is the size limit of an answer's body by the protocol, in bytes.
	maxBody = 64 << 10
	// maxSliceBytes is the size limit of an answer's entries, in bytes.
	maxSliceBytes = maxBody - versionlog.MaxEnvelopeBytes
	// maxCachedSlices is how many encoded slices of one version are cached; further ones are encoded for each reader.
	maxCachedSlices = 64
)

// sliceCache holds the encoded slices of one version of a log. It is cleared when the log changes.
type sliceCache map[sliceKey]encodedSlice

// sliceKey tells apart the slices that readers of one version of a log are given.
type sliceKey struct {
	from versionlog.Version // version that the reader has
	base int64              // index that a snapshot under way began at; 0 outside a snapshot
}

// encodedSlice is a slice as JSON.
type encodedSlice struct {
	body    []byte
	entries int // how many entries the slice has
}

// slice returns the next slice of a reader with a cursor, of the log that the cache is of; cached is false where it had
// to be encoded. The cursor's Head is not in the key: it does not change what log.Read gives.
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
