package distribution

import (
	"sync"
	"sync/atomic"
	"time"

	"harepass/internal/decide/follower"
	"harepass/internal/decide/versionlog"
)

// Status is where a Follower stands.
type Status struct {
	// Version is the version of the last answer that was applied. It means nothing while HasVersion is false.
	Version versionlog.Version
	// HasVersion reports that an answer has been applied.
	HasVersion bool
	// Complete reports that the local copy is the log's state at Version.
	Complete bool
	// Entries is how many entries the local copy has.
	Entries int
	// Staleness is the time since the local copy was last known to be the authority's newest version; before that,
	// since Config.ConfirmedAt.
	Staleness time.Duration
	// Source is the address of the source that is followed; empty where none answers.
	Source string
}

// sharedStatus is a Follower's Status, written by Run's goroutine and read by any.
type sharedStatus struct {
	mu          sync.Mutex
	status      Status    // its Staleness is not kept: it follows from confirmedAt
	confirmedAt time.Time // when the local copy was last known to be the authority's newest version
}

// Status returns where the follower stands. It is for any goroutine, at any time.
func (f *Follower) Status() Status {
	s := &f.status
	s.mu.Lock()
	defer s.mu.Unlock()
	status := s.status
	status.Staleness = time.Since(s.confirmedAt)
	return status
}

// setSource notes the address of the source that is followed, empty for none.
func (s *sharedStatus) setSource(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status.Source = address
}

// setVersion notes an answer that was applied. entries is how many the local copy has; staleness is that of the source
// when it answered. Only a complete copy that is at the source's head is confirmed.
func (s *sharedStatus) setVersion(slice versionlog.Slice, change follower.Applied, entries int,
	staleness time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status.Version, s.status.HasVersion = slice.Version, true
	s.status.Complete, s.status.Entries = change.Complete, entries
	if change.Complete && !slice.More() {
		s.confirmedAt = time.Now().Add(-staleness)
	}
}

// Counters are a Follower's totals since New.
type Counters struct {
	Calls        int64 // calls sent, probes included
	Failures     int64 // calls without a usable answer
	BytesRead    int64 // on all connections, headers included
	BytesWritten int64 // on all connections, headers included
	Versions     int64 // answers that brought a new version or slice
	Entries      int64 // entries that were changed or removed
	Snapshots    int64 // snapshots that were completed
	Switches     int64 // times that a source was followed, the first one included
	Rejected     int64 // answers that were not applied because they were behind or invalid
}

// totals are the Counters as they are counted.
type totals struct {
	calls, failures, bytesRead, bytesWritten atomic.Int64
	versions, entries, snapshots             atomic.Int64
	switches, rejected                       atomic.Int64
}

// recordChange counts an answer that was applied; updated is false for one that brought nothing new.
func (t *totals) recordChange(change follower.Applied, updated bool) {
	t.entries.Add(int64(len(change.Entries) + len(change.MissingFromSnapshot)))
	if updated {
		t.versions.Add(1)
	}
	if change.SnapshotCompleted {
		t.snapshots.Add(1)
	}
}

// Counters returns the totals so far. It is for any goroutine, at any time.
func (f *Follower) Counters() Counters {
	t := &f.totals
	return Counters{Calls: t.calls.Load(), Failures: t.failures.Load(),
		BytesRead: t.bytesRead.Load(), BytesWritten: t.bytesWritten.Load(),
		Versions: t.versions.Load(), Entries: t.entries.Load(), Snapshots: t.snapshots.Load(),
		Switches: t.switches.Load(), Rejected: t.rejected.Load()}
}
