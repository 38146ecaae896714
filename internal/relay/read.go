package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"harepass/internal/decide/versionlog"
)

// Readers of a resource that has nothing yet are told to come back after emptyRetryAfter, and up to half as much more
// for each at random, so that they do not come at once. Readers over the server's limit get emptyRetryAfter alone.
const emptyRetryAfter = 400 * time.Millisecond

// Rejection says why a reader gets no slice.
type Rejection int

// The rejections.
const (
	Accepted Rejection = iota // none: the reader gets a slice
	Empty                     // the resource has nothing yet
	Busy                      // the budget for snapshots is spent
	Behind                    // the reader knows of newer versions than the resource
)

// Reply is what a reader gets.
type Reply struct {
	// Rejection says why there is no slice; Accepted where there is one.
	Rejection Rejection
	// RetryAfter is when the reader is to come back after Empty or Busy.
	RetryAfter time.Duration
	// Body is the slice as JSON. Readers share it: it must not be changed.
	Body []byte
	// Staleness is how long ago the resource was known to be the authority's newest version.
	Staleness time.Duration
}

// Read answers a reader that has what its cursor says: at once where the resource has a newer version, else when
// there is one. Without one it answers when maxWait is over, clientLeft is closed or ctx has ended.
func (r *Resource) Read(ctx context.Context, clientLeft <-chan struct{}, from versionlog.Cursor,
	maxWait time.Duration) Reply {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	for first, last := true, false; ; first = false {
		reply, changed := r.replyOrWait(from, first, last || maxWait <= 0)
		if changed == nil {
			return reply
		}
		select {
		case <-changed:
		case <-timer.C:
			last = true
		case <-clientLeft:
			last = true
		case <-ctx.Done():
			last = true
		}
		r.endWait()
	}
}

// replyOrWait returns the reader's reply, or what it is to wait for: a channel that is closed at the next version. It
// may not wait where last is set. first is set once for each call.
func (r *Resource) replyOrWait(from versionlog.Cursor, first, last bool) (Reply, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if first {
		r.counters.Calls++
	}
	switch {
	case r.log.Empty():
		r.counters.RejectedEmpty++
		jitter := time.Duration(rand.Float64() * float64(emptyRetryAfter/2))
		return Reply{Rejection: Empty, RetryAfter: emptyRetryAfter + jitter}, nil
	case r.log.Behind(from):
		r.counters.RejectedBehind++
		return Reply{Rejection: Behind}, nil
	case !last && from.Version == r.log.Version() && from.Base == 0:
		r.waiting++
		return Reply{}, r.changed
	}
	if retryAfter, admitted := r.admit(from); !admitted {
		return Reply{Rejection: Busy, RetryAfter: retryAfter}, nil
	}
	return r.reply(from), nil
}

// endWait counts a reader out that replyOrWait had wait.
func (r *Resource) endWait() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting--
}

// admit reports whether a reader may have its next slice now, and else when to come back. A reader that begins a
// snapshot needs the budget for all of it. It is called under the lock.
func (r *Resource) admit(from versionlog.Cursor) (retryAfter time.Duration, admitted bool) {
	if !r.log.NeedsSnapshot(from) {
		return 0, true
	}
	_, bytes := r.log.Live()
	if retryAfter, admitted := r.budget.admit(bytes); !admitted {
		r.counters.SnapshotsRejected++
		return retryAfter, false
	}
	r.counters.Snapshots++
	r.counters.SnapshotBytes += int64(bytes)
	return 0, true
}

// reply returns the reader's next slice; one without entries is a heartbeat. It is called under the lock.
func (r *Resource) reply(from versionlog.Cursor) Reply {
	slice, cached := r.cache.slice(r.log, from)
	if !cached {
		r.counters.Encoded++
	}
	r.counters.EntriesSent += int64(slice.entries)
	r.counters.Bytes += int64(len(slice.body))
	if slice.entries == 0 {
		r.counters.Heartbeats++
	}
	return Reply{Body: slice.body, Staleness: r.stalenessLocked()}
}
