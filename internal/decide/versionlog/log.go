package versionlog

import "github.com/google/btree"

// MaxEntryBytes is the size of the longest body of an entry: with the envelope it fits into an answer of 64 KiB.
const MaxEntryBytes = 60 << 10

// treeDegree is the degree of the B-trees that order entries by their indexes.
const treeDegree = 32

// Log is a compacted log of versions, of an authority or of a relay. Use New.
type Log struct {
	version        Version // of the last change; epoch 0 for a relay's log that has taken no snapshot
	announcedIndex int64   // newest index that a relay's source has announced; 0 for an authority's log
	byName         map[string]Entry
	byIndex        *btree.BTreeG[Entry]
	liveBytes      int // sum of the bodies of entries that are no tombstones
	removals       removals
	staging        *staging // the snapshot that a relay is taking; nil while it takes none
}

// removals are the tombstones of a log, which are among its entries too. A log remembers a limited number of them.
type removals struct {
	tombstones *btree.BTreeG[Entry]
	max        int   // tombstones that are remembered
	horizon    int64 // index up to which tombstones may have been forgotten
}

func lessIndex(a, b Entry) bool { return a.Index < b.Index }

// New returns a log that remembers a number of tombstones. An authority's log is given its epoch, above 0. A relay's is
// given epoch 0 and is empty until it has taken a snapshot.
func New(epoch int64, tombstones int) *Log {
	return &Log{version: Version{Epoch: epoch}, byName: map[string]Entry{}, byIndex: btree.NewG(treeDegree, lessIndex),
		removals: removals{tombstones: btree.NewG(treeDegree, lessIndex), max: tombstones}}
}

// Version returns the version of the log's last change.
func (l *Log) Version() Version { return l.version }

// Empty reports whether the log has nothing to give to readers yet.
func (l *Log) Empty() bool { return !l.version.HasEpoch() || l.version.Index == 0 }

// Live returns the number of entries that are no tombstones, and the sum of their bodies in bytes.
func (l *Log) Live() (entries, bytes int) {
	return l.byIndex.Len() - l.removals.tombstones.Len(), l.liveBytes
}

// put makes an entry the state of its name. Where that is one tombstone too many, the oldest is forgotten: a reader
// that may lack it needs a snapshot from then on.
func (l *Log) put(entry Entry) {
	if old, known := l.byName[entry.Name]; known {
		l.drop(old)
	}
	l.byName[entry.Name] = entry
	l.byIndex.ReplaceOrInsert(entry)
	if !entry.Removed {
		l.liveBytes += len(entry.Body)
		return
	}
	r := &l.removals
	r.tombstones.ReplaceOrInsert(entry)
	for r.tombstones.Len() > r.max {
		oldest, _ := r.tombstones.Min()
		l.drop(oldest)
		r.horizon = max(r.horizon, oldest.Index)
	}
}

// drop takes an entry out of the log.
func (l *Log) drop(entry Entry) {
	delete(l.byName, entry.Name)
	l.byIndex.Delete(entry)
	if entry.Removed {
		l.removals.tombstones.Delete(entry)
		return
	}
	l.liveBytes -= len(entry.Body)
}
