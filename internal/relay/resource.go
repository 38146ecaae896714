package relay

import (
	"sync"
	"time"

	"harepass/internal/decide/versionlog"
)

// Resource is one list of entries, with the readers that wait for its next version. Use NewResource. It is for any
// goroutine.
type Resource struct {
	budget *SnapshotBudget // shared with the other resources of the process

	mu       sync.Mutex
	log      *versionlog.Log
	changed  chan struct{} // closed when the log changes
	cache    sliceCache    // of the log's present version
	counters Counters
	waiting  int // readers that wait for a change

	publishedAt time.Time            // when an authority last published; NewResource's time before that
	staleness   func() time.Duration // what the source says of itself; nil where publishedAt tells it
}

// NewResource returns a resource with a log: an authority's, or an empty one for Apply.
func NewResource(log *versionlog.Log, budget *SnapshotBudget) *Resource {
	return &Resource{log: log, budget: budget, changed: make(chan struct{}), cache: sliceCache{},
		publishedAt: time.Now()}
}

// Publish enters an authority's changes in the log and wakes the readers. It returns how many of them changed an entry.
// The error is the log's; then nothing has changed.
func (r *Resource) Publish(changes []versionlog.Change) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recordPublished(r.log.Publish(changes))
}

// Replace enters an authority's complete list in the log and wakes the readers: entries that it does not hold are
// removed. It returns how many entries were changed. The error is the log's; then nothing has changed.
func (r *Resource) Replace(list []versionlog.Change) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recordPublished(r.log.Replace(list))
}

// recordPublished takes the log's result of a publication, and wakes the readers if it changed something. It is called
// under the lock.
func (r *Resource) recordPublished(changes int, err error) (int, error) {
	if err != nil {
		return 0, err
	}
	r.publishedAt = time.Now()
	if changes > 0 {
		r.wakeReaders()
	}
	return changes, nil
}

// Apply enters a slice of another relay in the log and wakes the readers. The errors are those of versionlog.Log.Apply.
func (r *Resource) Apply(slice versionlog.Slice) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.log.Version()
	err := r.log.Apply(slice)
	if r.log.Version() != before || err == nil && len(slice.Entries) > 0 {
		r.wakeReaders()
	}
	return err
}

// wakeReaders ends the waits of all readers, and drops the slices of the version before. It is called under the lock.
func (r *Resource) wakeReaders() {
	clear(r.cache)
	close(r.changed)
	r.changed = make(chan struct{})
}

// Head returns the version of what the resource holds.
func (r *Resource) Head() versionlog.Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.Version()
}

// SetStaleness has the source say how long ago the resource was known to be the authority's newest version. The
// function is called under the resource's lock, by any goroutine.
func (r *Resource) SetStaleness(staleness func() time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.staleness = staleness
}

// currentStaleness returns how long ago the resource was known to be the authority's newest version.
func (r *Resource) currentStaleness() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stalenessLocked()
}

// stalenessLocked is currentStaleness for callers that hold the lock.
func (r *Resource) stalenessLocked() time.Duration {
	if r.staleness != nil {
		return r.staleness()
	}
	return time.Since(r.publishedAt)
}
