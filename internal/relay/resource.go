// Package relay gives out the node list and the settings in versions, in discovery's calls and form: an authority's own or
// those of another relay. Many readers watch; one changed entry is encoded once for all of them.
package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"harepass/internal/decide/ratelimit"
	"harepass/internal/decide/versionlog"
)

const (
	// maxBody bounds an answer's body, as the protocol does.
	maxBody = 64 << 10
	// sliceBytes bounds the entries of an answer.
	sliceBytes = maxBody - versionlog.EnvelopeBytes
	// maxCached bounds the encoded slices that are kept for one version.
	maxCached = 64
	// emptyRetry is what readers are told to wait where there is nothing yet; each is told half as much more at most.
	emptyRetry = 400 * time.Millisecond
)

// Rejection says why a reader gets no slice.
type Rejection int

// The refusals.
const (
	Accepted Rejection = iota
	Empty              // there is nothing yet
	Busy               // the budget for snapshots is spent
	Behind             // the reader knows of newer versions
)

// Reply is what a reader gets.
type Reply struct {
	Rejection  Rejection
	RetryAfter time.Duration // with Empty and Busy
	Body       []byte        // else; shared by readers, not to be changed
	Staleness  time.Duration // since the resource was last known to be current
}

// Counters count the answers of one resource since the start.
type Counters struct {
	Calls             int64 `json:"calls"`
	EntriesSent       int64 `json:"entries_sent"`      // in answers
	Bytes             int64 `json:"bytes"`             // of the answers' bodies
	Heartbeats        int64 `json:"heartbeats"`        // answers without news
	Snapshots         int64 `json:"snapshots"`         // begun
	SnapshotBytes     int64 `json:"snapshot_bytes"`    // of the entries of snapshots when they began
	SnapshotsRejected int64 `json:"snapshots_refused"` // for want of budget
	RejectedEmpty     int64 `json:"refused_empty"`
	RejectedBehind    int64 `json:"refused_behind"`
	Encoded           int64 `json:"encoded"` // slices written as JSON; the other answers shared them
}

// Resource is one list of entries and its readers. Use NewResource.
type Resource struct {
	budget *SnapshotBudget

	mu       sync.Mutex
	log      *versionlog.Log
	changed  chan struct{} // closed when the log changes
	cache    map[sliceKey]encodedSlice
	counters Counters
	waiting  int
	current  time.Time            // when the log was last known to be current
	age      func() time.Duration // of what the source has, where that tells; else by current
}

// sliceKey is what tells the slices of one version of the log apart.
type sliceKey struct {
	from versionlog.Version
	base int64
}

type encodedSlice struct {
	body    []byte
	entries int
}

// NewResource returns a resource with a log: an authority's, or an empty one for Apply.
func NewResource(log *versionlog.Log, budget *SnapshotBudget) *Resource {
	return &Resource{log: log, budget: budget, changed: make(chan struct{}), cache: map[sliceKey]encodedSlice{}, current: time.Now()}
}

// Publish enters changes of an authority in its log and tells the readers. It returns how many were changes.
func (r *Resource) Publish(changes []versionlog.Change) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.published(r.log.Publish(changes))
}

// Apply takes a slice of the source over and tells the readers.
func (r *Resource) Apply(slice versionlog.Slice) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.log.Head()
	err := r.log.Apply(slice)
	if r.log.Head() != before || err == nil && len(slice.Entries) > 0 {
		r.announce()
	}
	return err
}

// Replace enters a whole state of an authority: live entries that it does not hold are removed.
func (r *Resource) Replace(state []versionlog.Change) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.published(r.log.Replace(state))
}

// published tells the readers of changes, under the lock.
func (r *Resource) published(changes int, err error) (int, error) {
	if err != nil {
		return 0, err
	}
	r.current = time.Now()
	if changes > 0 {
		r.announce()
	}
	return changes, nil
}

// announce wakes the readers, under the lock.
func (r *Resource) announce() {
	clear(r.cache)
	close(r.changed)
	r.changed = make(chan struct{})
}

// SetAge has the age of what the resource holds told by its source.
func (r *Resource) SetStaleness(age func() time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.age = age
}

// Read answers a reader: at once where there is news, else when there is, or without any when hold is over, the reader is
// gone or ctx ends.
func (r *Resource) Read(ctx context.Context, gone <-chan struct{}, from versionlog.Cursor, hold time.Duration) Reply {
	timer := time.NewTimer(hold)
	defer timer.Stop()
	for first, last := true, false; ; first = false {
		reply, changed := r.next(from, first, last || hold <= 0)
		if changed == nil {
			return reply
		}
		select {
		case <-changed:
		case <-timer.C:
			last = true
		case <-gone:
			last = true
		case <-ctx.Done():
			last = true
		}
		r.mu.Lock()
		r.waiting--
		r.mu.Unlock()
	}
}

// next is the reader's answer, or where there is no news and it may wait, what is closed when there is.
func (r *Resource) next(from versionlog.Cursor, first, last bool) (Reply, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if first {
		r.counters.Calls++
	}
	switch {
	case r.log.Empty():
		r.counters.RejectedEmpty++
		return Reply{Rejection: Empty, RetryAfter: emptyRetry + time.Duration(rand.Float64()*float64(emptyRetry/2))}, nil
	case r.log.Behind(from):
		r.counters.RejectedBehind++
		return Reply{Rejection: Behind}, nil
	case !last && from.Version == r.log.Head() && from.Base == 0:
		r.waiting++
		return Reply{}, r.changed
	}
	if r.log.NeedsSnapshot(from) {
		_, bytes := r.log.Live()
		if wait, admitted := r.budget.admit(bytes); !admitted {
			r.counters.SnapshotsRejected++
			return Reply{Rejection: Busy, RetryAfter: wait}, nil
		}
		r.counters.Snapshots++
		r.counters.SnapshotBytes += int64(bytes)
	}
	slice := r.encoded(from)
	r.counters.EntriesSent += int64(slice.entries)
	r.counters.Bytes += int64(len(slice.body))
	if slice.entries == 0 {
		r.counters.Heartbeats++
	}
	return Reply{Body: slice.body, Staleness: r.ageNow()}, nil
}

// encoded is the reader's next slice as JSON, under the lock.
func (r *Resource) encoded(from versionlog.Cursor) encodedSlice {
	key := sliceKey{from.Version, from.Base}
	if slice, cached := r.cache[key]; cached {
		return slice
	}
	read := r.log.Read(from, sliceBytes)
	slice := encodedSlice{body: read.AppendJSON(nil), entries: len(read.Entries)}
	r.counters.Encoded++
	if len(r.cache) < maxCached {
		r.cache[key] = slice
	}
	return slice
}

// ageNow is how long ago the resource was known to be current, under the lock.
func (r *Resource) ageNow() time.Duration {
	if r.age != nil {
		return r.age()
	}
	return time.Since(r.current)
}

// currentAge is how long ago the resource was known to be current.
func (r *Resource) currentAge() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ageNow()
}

// Head is the version of what the resource holds.
func (r *Resource) Head() versionlog.Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.Head()
}

// ResourceStatus is where a resource stands.
type ResourceStatus struct {
	Epoch     int64   `json:"epoch"`
	Index     int64   `json:"index"`
	Entries   int     `json:"entries"`
	LiveBytes int     `json:"live_bytes"`
	Staleness float64 `json:"age_seconds"`
	Waiting   int     `json:"waiting"` // readers that watch
	Counters
}

// Status tells where the resource stands.
func (r *Resource) Status() ResourceStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	entries, bytes := r.log.Live()
	head := r.log.Head()
	return ResourceStatus{Epoch: head.Epoch, Index: head.Index, Entries: entries, LiveBytes: bytes, Staleness: r.ageNow().Seconds(),
		Waiting: r.waiting, Counters: r.counters}
}

// Budget admits snapshots of all resources of a process. Those that fit into one answer are always admitted: to wait for them
// would cost more calls than it saves.
type SnapshotBudget struct {
	mu    sync.Mutex
	began time.Time
	bytes *ratelimit.Budget
}

// NewBudget returns a budget of so many bytes a second.
func NewSnapshotBudget(bytesPerSecond int) *SnapshotBudget {
	return &SnapshotBudget{began: time.Now(), bytes: ratelimit.NewBudget(bytesPerSecond, 0)}
}

func (b *SnapshotBudget) admit(bytes int) (wait time.Duration, admitted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Since(b.began)
	if bytes <= sliceBytes {
		b.bytes.Charge(now, bytes)
		return 0, true
	}
	return b.bytes.Admit(now, bytes, rand.Float64())
}
