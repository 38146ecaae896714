package relay

import (
	"math/rand/v2"
	"sync"
	"time"

	"harepass/internal/decide/ratelimit"
)

// SnapshotBudget bounds the snapshots that all resources of a process give out, in bytes a second. Use
// NewSnapshotBudget. It is for any goroutine.
type SnapshotBudget struct {
	startedAt time.Time // zero of the budget's clock

	mu    sync.Mutex
	bytes *ratelimit.TokenBucket
}

// NewSnapshotBudget returns a full budget.
func NewSnapshotBudget(bytesPerSecond int) *SnapshotBudget {
	return &SnapshotBudget{startedAt: time.Now(), bytes: ratelimit.NewTokenBucket(bytesPerSecond, 0)}
}

// admit reports whether a snapshot of so many bytes may begin now, and else when its reader is to come back. One that
// fits into a single answer is always admitted: to have its reader come back would cost more calls than it saves.
func (b *SnapshotBudget) admit(bytes int) (retryAfter time.Duration, admitted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Since(b.startedAt)
	if bytes <= maxSliceBytes {
		b.bytes.Charge(now, bytes)
		return 0, true
	}
	return b.bytes.Admit(now, bytes, rand.Float64())
}
