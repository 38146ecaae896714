package relay

import (
	"math/rand/v2"
	"sync"
	"time"

	"harepass/internal/decide/ratelimit"
)

// SnapshotBudget limits the rate of snapshots, in bytes per second, over all resources of a process. Create it with
// NewSnapshotBudget. Any goroutine may use it.
type SnapshotBudget struct {
	startedAt time.Time // origin of the budget's clock

	mu    sync.Mutex
	bytes *ratelimit.TokenBucket
}

// NewSnapshotBudget returns a full budget.
func NewSnapshotBudget(bytesPerSecond int) *SnapshotBudget {
	return &SnapshotBudget{startedAt: time.Now(), bytes: ratelimit.NewTokenBucket(bytesPerSecond, 0)}
}

// admit reports whether a snapshot of a size in bytes may begin now; if not, it returns how long the reader should wait
// before it calls again. A snapshot that fits into a single answer is always admitted, because rejecting it would cost
// more calls than it saves.
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
