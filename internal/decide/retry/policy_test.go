package retry

import (
	"testing"
	"time"
)

func TestRetryableUntilGoesByIdempotency(t *testing.T) {
	const firstSent, window = 7 * time.Second, 4 * time.Second
	for idempotency, want := range map[Idempotency]time.Duration{
		Idempotent:    AlwaysRetryable,
		Keyed:         firstSent + window,
		NonIdempotent: NeverRetryable,
	} {
		if got := (Policy{idempotency, window}).RetryableUntil(firstSent); got != want {
			t.Errorf("idempotency %d: retryable until %v, want %v", idempotency, got, want)
		}
	}
}
