package relay

import (
	"sync"
	"time"

	"harepass/internal/decide/versionlog"
)

// Resource is one list of entries with its version log, and with the readers that wait for its next version. Create it
// with NewResource. Any goroutine may use it.
type Resource struct {
	budget *SnapshotBudget // shared with the other resources of the process

	mu       sync.Mutex
	log      *versionlog.Log
	changed  chan struct{} // closed when the log changes
	cache    sliceCache    // encoded slices of the log's current version
	counters Counters
	waiting  int // readers that wait for a change

	publishedAt time.Time            // time of the last publication; before that, the time of NewResource
	staleness   func() time.Duration // set by SetStalenessFunc; if nil, the staleness is the time since publishedAt
}

// NewResource returns a resource with a log: an authority's, or an empty one that is filled by Apply.
func NewResource(log *versionlog.Log, budget *SnapshotBudget) *Resource {
	return &Resource{log: log, budget: budget, changed: make(chan struct{}), cache: sliceCache{},
		publishedAt: time.Now()}
}

// Publish adds an authority's changes to the log and wakes the waiting readers. It returns how many of the changes have
// changed an entry. If the log returns an error, Publish returns it and nothing has changed.
func (r *Resource) Publish(changes []versionlog.Change) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recordPublished(r.log.Publish(changes))
}

// Replace adds an authority's complete list to the log and wakes the waiting readers. Entries that are not in the list
// are removed. It returns how many entries were changed. If the log returns an error, Replace returns it and nothing
// has changed.
func (r *Resource) Replace(list []versionlog.Change) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recordPublished(r.log.Replace(list))
}

// recordPublished records the log's result of a publication, and wakes the waiting readers if it has changed an entry.
// The caller must hold the lock.
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

// Apply applies a slice from another relay to the log, and wakes the waiting readers if the log has changed. The errors
// are those of versionlog.Log.Apply.
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

// wakeReaders ends the waits of all readers and drops the cached slices of the previous version. The caller must hold
// the lock.
func (r *Resource) wakeReaders() {
	clear(r.cache)
	close(r.changed)
	r.changed = make(chan struct{})
}

// Head returns the version that the resource has.
func (r *Resource) Head() versionlog.Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.Version()
}

// SetStalenessFunc sets the function that returns the time since the resource was last known to be the authority's
// newest version. The function is called from any goroutine, with the resource's lock held.
func (r *Resource) SetStalenessFunc(staleness func() time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.staleness = staleness
}

// currentStaleness returns the time since the resource was last known to be the authority's newest version.
func (r *Resource) currentStaleness() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stalenessLocked()
}

// stalenessLocked is like currentStaleness, but the caller must hold the lock.
func (r *Resource) stalenessLocked() time.Duration {
	if r.staleness != nil {
		return r.staleness()
	}
	return time.Since(r.publishedAt)
}
