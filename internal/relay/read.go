package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"harepass/internal/decide/versionlog"
)

// emptyRetryAfter is the wait after which readers of a resource without a version may call again. Each of them gets a
// random extra wait of up to half as much, so that they do not all call at the same time. Readers over the server's
// limit get emptyRetryAfter without the extra wait.
const emptyRetryAfter = 400 * time.Millisecond

// Rejection is the reason why a reader gets no slice, or NotRejected if it gets one.
type Rejection int

// Reasons of rejections.
const (
	NotRejected Rejection = iota // the reader gets a slice
	Empty                        // the resource has no version yet
	Busy                         // the snapshot budget is spent
	Behind                       // the reader knows of newer versions than the resource
)

// Reply is the result of a reader's call.
type Reply struct {
	// Rejection is the reason why there is no slice; NotRejected if there is one.
	Rejection Rejection
	// RetryAfter is how long the reader should wait before it calls again, after Empty or Busy.
	RetryAfter time.Duration
	// Body is the slice as JSON. Readers share it, so it must not be modified.
	Body []byte
	// Staleness is the time since the resource was last known to be the authority's newest version; 0 in a rejection.
	// In an authority that follows discovery, it disregards changes that are not published yet or were rejected
	// (Authority.Run).
	Staleness time.Duration
}

// Read answers a reader's call. It returns at once if the call is rejected, the reader's version is not the resource's,
// or the reader is within a snapshot. Otherwise it waits for a new version, until maxWait is over, clientLeft is closed
// or ctx has ended. If there is none by then, it returns a heartbeat, which is a slice without entries.
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

// replyOrWait returns the reader's reply, or a channel to wait for, which is closed at the next change. It always
// returns a reply if last is set. first marks the first attempt of a call, so that each call is counted once.
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
	case !last && from.Version == r.log.Version() && from.Base == 0: // up to date and not within a snapshot
		r.waiting++
		return Reply{}, r.changed
	}
	if retryAfter, admitted := r.admit(from); !admitted {
		return Reply{Rejection: Busy, RetryAfter: retryAfter}, nil
	}
	return r.reply(from), nil
}

// endWait ends the wait of a reader that replyOrWait has counted as waiting.
func (r *Resource) endWait() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting--
}

// admit reports whether a reader may get its next slice now; if not, it returns how long to wait before the next call.
// A reader that begins a snapshot needs budget for the whole snapshot, unless that fits into a single answer
// (SnapshotBudget.admit). The caller must hold the lock.
func (r *Resource) admit(from versionlog.Cursor) (retryAfter time.Duration, admitted bool) {
	if !r.log.NeedsSnapshot(from) {
		return 0, true
	}
	_, bytes := r.log.Live() // size of the bodies of all entries that are not tombstones
	if retryAfter, admitted := r.budget.admit(bytes); !admitted {
		r.counters.SnapshotsRejected++
		return retryAfter, false
	}
	r.counters.Snapshots++
	r.counters.SnapshotBytes += int64(bytes)
	return 0, true
}

// reply returns a reply with the reader's next slice. A slice without entries is a heartbeat. The caller must hold the
// lock.
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
