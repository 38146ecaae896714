package versionlog

import "github.com/google/btree"

// MaxEntryBytes is the largest size of an entry's body. Such a body and the envelope fit into an answer of 64 KiB.
const MaxEntryBytes = 60 << 10

// treeDegree is the degree of the B-trees that order entries by their indexes.
const treeDegree = 32

// Log is the compacted log of versions of an authority or of a relay. New creates one.
type Log struct {
	version        Version // version of the last change; epoch 0 for a relay's log before its first snapshot
	announcedIndex int64   // newest index that a relay's source has announced; 0 for an authority's log
	byName         map[string]Entry
	byIndex        *btree.BTreeG[Entry]
	liveBytes      int // bytes in the bodies of live entries
	removals       removals
	staging        *staging // snapshot that a relay is receiving; nil if there is none
}

// removals holds the tombstones of a log, which are also among its entries. A log remembers a limited number of them.
type removals struct {
	tombstones *btree.BTreeG[Entry]
	max        int   // number of tombstones that the log remembers
	horizon    int64 // index up to which the log may have forgotten tombstones
}

func lessIndex(a, b Entry) bool { return a.Index < b.Index }

// New returns a log that remembers the given number of tombstones. For an authority's log, epoch is the authority's
// epoch, above 0. For a relay's log, epoch is 0, and the log is empty until the relay has received a snapshot.
func New(epoch int64, tombstones int) *Log {
	return &Log{version: Version{Epoch: epoch}, byName: map[string]Entry{}, byIndex: btree.NewG(treeDegree, lessIndex),
		removals: removals{tombstones: btree.NewG(treeDegree, lessIndex), max: tombstones}}
}

// Version returns the version of the log's last change.
func (l *Log) Version() Version { return l.version }

// Empty reports whether the log has no version for readers yet.
func (l *Log) Empty() bool { return !l.version.HasEpoch() || l.version.Index == 0 }

// Live returns the number of live entries and the sum of the sizes of their bodies.
func (l *Log) Live() (entries, bytes int) {
	return l.byIndex.Len() - l.removals.tombstones.Len(), l.liveBytes
}

// put makes an entry the state of its name. If the log then has too many tombstones, put forgets the oldest one, and a
// reader that may lack that tombstone needs a snapshot from then on.
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

// drop removes an entry from the log.
func (l *Log) drop(entry Entry) {
	delete(l.byName, entry.Name)
	l.byIndex.Delete(entry)
	if entry.Removed {
		l.removals.tombstones.Delete(entry)
		return
	}
	l.liveBytes -= len(entry.Body)
}
