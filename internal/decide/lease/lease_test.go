package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"harepass/internal/decide/backoff"
)

const (
	second     = time.Second
	listMaxAge = 10 * second
)

// Each kind of news moves the end of the lease as the rule on told changes says.
func TestExpires(t *testing.T) {
	for name, c := range map[string]struct {
		play func(l *Lease)
		want time.Duration
	}{
		"nothing asked yet":                 {func(*Lease) {}, listMaxAge},
		"the first call failed":             {func(l *Lease) { l.Unanswered() }, backoff.NotifiedAfter},
		"confirmed":                         {func(l *Lease) { l.Confirmed(2 * second) }, 2*second + backoff.NotifiedAfter},
		"confirmed, then unanswered calls":  {func(l *Lease) { l.Confirmed(2 * second); l.Unanswered(); l.Unanswered() }, 2*second + backoff.NotifiedAfter},
		"confirmed, then down":              {func(l *Lease) { l.Confirmed(2 * second); l.Unreachable(5 * second) }, 5*second + backoff.NotifiedAfter},
		"down, then crowded":                {func(l *Lease) { l.Unreachable(5 * second); l.Unanswered() }, 5*second + backoff.NotifiedAfter},
		"an older answer comes last":        {func(l *Lease) { l.Confirmed(5 * second); l.Confirmed(4 * second) }, 5*second + backoff.NotifiedAfter},
		"moved":                             {func(l *Lease) { l.Confirmed(2 * second); l.ServiceChanged(3 * second) }, 3*second + backoff.NotifiedAfterReload},
		"moved shortly before the end":      {func(l *Lease) { l.Confirmed(2 * second); l.ServiceChanged(7 * second) }, 2*second + backoff.NotifiedAfter},
		"moved to one that is down":         {func(l *Lease) { l.ServiceChanged(3 * second); l.Unreachable(6 * second) }, 6*second + backoff.NotifiedAfterReload},
		"moved to one that answers":         {func(l *Lease) { l.ServiceChanged(3 * second); l.Confirmed(4 * second) }, 4*second + backoff.NotifiedAfter},
		"moved to one that does not answer": {func(l *Lease) { l.ServiceChanged(3 * second); l.Unanswered() }, backoff.NotifiedAfter},
		"moved again and again": {func(l *Lease) {
			l.Confirmed(second)
			l.ServiceChanged(2 * second)
			l.ServiceChanged(3 * second)
			l.ServiceChanged(4 * second)
			l.Unanswered()
		}, 2*second + backoff.NotifiedAfterReload},
		"moved, answered, and lost once more": {func(l *Lease) { l.ServiceChanged(3 * second); l.Confirmed(4 * second); l.Unanswered() }, 4*second + backoff.NotifiedAfter},
	} {
		l := New(0, listMaxAge, 0)
		if c.play(&l); l.Expires() != c.want {
			t.Errorf("%s: expires at %v, want %v", name, l.Expires(), c.want)
		}
	}
	if l := New(0, 0, 0); l.Expires() != backoff.NotifiedAfter {
		t.Errorf("without a time between calls: expires at %v", l.Expires())
	}
}

// Whatever happens: once a call has failed, the lease never lasts longer than Binds and the grace less 0.25 s after the last time at which discovery
// confirmed the list or was down.
func TestNeverLongerThanBinds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := time.Duration(rapid.Int64Range(0, int64(2*second)).Draw(t, "grace"))
		l := New(0, listMaxAge, grace)
		now, last := time.Duration(0), time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(4*second)).Draw(t, "passes"))
			switch rapid.IntRange(0, 3).Draw(t, "news") {
			case 0:
				l.Confirmed(now)
				last = now
			case 1:
				l.Unreachable(now)
				last = now
			case 2:
				l.ServiceChanged(now)
			default:
				l.Unanswered()
			}
		}
		l.Unanswered()
		if l.Expires() > last+backoff.NotifiedAfter+max(grace/2, grace-250*time.Millisecond) {
			t.Fatalf("expires at %v; last confirmed or down at %v", l.Expires(), last)
		}
	})
}
