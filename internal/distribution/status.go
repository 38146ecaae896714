package distribution

import (
	"sync"
	"sync/atomic"
	"time"

	"harepass/internal/decide/follower"
	"harepass/internal/decide/versionlog"
)

// Status is the state of a Follower's local copy and the source that it follows.
type Status struct {
	// Version is the version of the last applied answer. It is meaningless while HasVersion is false.
	Version versionlog.Version
	// HasVersion reports that an answer has been applied.
	HasVersion bool
	// Complete reports that the local copy has the log's whole state at Version.
	Complete bool
	// Entries is the number of entries in the local copy.
	Entries int
	// Staleness is the time since the local copy was last known to be the authority's newest version. Until an answer
	// confirms that, it is the time since Config.ConfirmedAt.
	Staleness time.Duration
	// Source is the address of the source that is followed. It is empty while no source has sent a usable answer.
	Source string
}

// sharedStatus is a Follower's Status. Run's goroutine writes it, and any goroutine may read it.
type sharedStatus struct {
	mu          sync.Mutex
	status      Status    // its Staleness is unused: Follower.Status derives it from confirmedAt
	confirmedAt time.Time // when the local copy was last known to be the authority's newest version
}

// Status returns the Follower's current status. Any goroutine may call it at any time.
func (f *Follower) Status() Status {
	s := &f.status
	s.mu.Lock()
	defer s.mu.Unlock()
	status := s.status
	status.Staleness = time.Since(s.confirmedAt)
	return status
}

// setSource records the address of the source that is followed; it is empty if none is.
func (s *sharedStatus) setSource(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status.Source = address
}

// setVersion records an applied answer. entries is the number of entries in the local copy, and staleness the source's
// staleness when it answered. The local copy is confirmed only if it is complete and has the source's newest index.
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
	Calls        int64 // calls sent, including probes
	Failures     int64 // calls without a usable answer
	BytesRead    int64 // bytes on all connections, including headers
	BytesWritten int64 // bytes on all connections, including headers
	Versions     int64 // applied answers that contained a new version, or a slice of a snapshot
	Entries      int64 // entries that were changed or removed
	Snapshots    int64 // completed snapshots
	Switches     int64 // times that the Follower began to follow a source, including the first
	Unusable     int64 // answers that were not applied because they were invalid, or behind the local copy
}

// totals are the running totals behind Counters.
type totals struct {
	calls, failures, bytesRead, bytesWritten atomic.Int64
	versions, entries, snapshots             atomic.Int64
	switches, unusable                       atomic.Int64
}

// recordChange counts an applied answer. updated is false if the answer contained nothing new.
func (t *totals) recordChange(change follower.Applied, updated bool) {
	t.entries.Add(int64(len(change.Entries) + len(change.MissingFromSnapshot)))
	if updated {
		t.versions.Add(1)
	}
	if change.SnapshotCompleted {
		t.snapshots.Add(1)
	}
}

// Counters returns the totals so far. Any goroutine may call it at any time.
func (f *Follower) Counters() Counters {
	t := &f.totals
	return Counters{Calls: t.calls.Load(), Failures: t.failures.Load(),
		BytesRead: t.bytesRead.Load(), BytesWritten: t.bytesWritten.Load(),
		Versions: t.versions.Load(), Entries: t.entries.Load(), Snapshots: t.snapshots.Load(),
		Switches: t.switches.Load(), Unusable: t.unusable.Load()}
}
