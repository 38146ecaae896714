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
	notified   = backoff.NotifiedAfter
	reloaded   = backoff.NotifiedAfterReload
)

// A process starts at 0 with a stored list. Then discovery confirms the list, is unreachable or leaves calls
// unanswered, and reloads name other services. Each kind of event changes the expiry by its own rule.
func TestExpiryAfterEachEvent(t *testing.T) {
	for name, c := range map[string]struct {
		events func(l *Lease)
		want   time.Duration
	}{
		"no call yet": {func(*Lease) {}, listMaxAge},
		"first call unanswered": {func(l *Lease) {
			l.Unanswered()
		}, notified},
		"confirmed": {func(l *Lease) {
			l.Confirmed(2 * second)
		}, 2*second + notified},
		"confirmed, then unanswered calls": {func(l *Lease) {
			l.Confirmed(2 * second)
			l.Unanswered()
			l.Unanswered()
		}, 2*second + notified},
		"confirmed, then unreachable": {func(l *Lease) {
			l.Confirmed(2 * second)
			l.Unreachable(5 * second)
		}, 5*second + notified},
		"unreachable, then unanswered": {func(l *Lease) {
			l.Unreachable(5 * second)
			l.Unanswered()
		}, 5*second + notified},
		"confirmed, then rejected": {func(l *Lease) {
			l.Confirmed(2 * second)
			l.Rejected(5*second, 30*second)
		}, 2*second + notified},
		"rejected, in a fleet that is answered in time": {func(l *Lease) {
			l.Rejected(5*second, 6*second)
		}, notified},
		"rejected, in a fleet that is not": {func(l *Lease) {
			l.Rejected(3*second, 10*second)
		}, 3*second + notified},
		"rejected after the fleet could have been answered": {func(l *Lease) {
			l.Rejected(3*second, 10*second)
			l.Rejected(9*second, 10*second)
		}, 10 * second},
		"another service that rejects calls, in a fleet that is not answered in time": {func(l *Lease) {
			l.Confirmed(2 * second)
			l.ServiceChanged(3 * second)
			l.Rejected(20*second, 10*second)
		}, 3*second + 4*second + reloaded},
		"confirmed, then a watch rejected": {func(l *Lease) {
			l.Confirmed(2 * second)
			l.WatchRejected(3 * second)
		}, 2*second + notified},
		"a watch rejected, then calls, in a fleet that is answered in time": {func(l *Lease) {
			l.Confirmed(2 * second)
			l.WatchRejected(3 * second)
			l.Rejected(5*second, 6*second)
		}, 2*second + notified},
		"a watch rejected, then calls, in a fleet that is not": {func(l *Lease) {
			l.Confirmed(2 * second)
			l.WatchRejected(3 * second)
			l.Rejected(20*second, 10*second)
		}, 3*second + 10*second},
		"confirmed after a rejected watch": {func(l *Lease) {
			l.WatchRejected(3 * second)
			l.Confirmed(4 * second)
			l.Rejected(20*second, 10*second)
		}, 4*second + notified},
		"confirmations out of order": {func(l *Lease) {
			l.Confirmed(5 * second)
			l.Confirmed(4 * second)
		}, 5*second + notified},
		"another service": {func(l *Lease) {
			l.Confirmed(2 * second)
			l.ServiceChanged(3 * second)
		}, 3*second + reloaded},
		"another service shortly before expiry": {func(l *Lease) {
			l.Confirmed(2 * second)
			l.ServiceChanged(7 * second)
		}, 2*second + notified},
		"another service that is unreachable": {func(l *Lease) {
			l.ServiceChanged(3 * second)
			l.Unreachable(6 * second)
		}, 6*second + reloaded},
		"another service that answers": {func(l *Lease) {
			l.ServiceChanged(3 * second)
			l.Confirmed(4 * second)
		}, 4*second + notified},
		"another service that does not answer": {func(l *Lease) {
			l.ServiceChanged(3 * second)
			l.Unanswered()
		}, notified},
		"three other services in succession": {func(l *Lease) {
			l.Confirmed(second)
			l.ServiceChanged(2 * second)
			l.ServiceChanged(3 * second)
			l.ServiceChanged(4 * second)
			l.Unanswered()
		}, 2*second + reloaded},
		"another service that answers, then does not": {func(l *Lease) {
			l.ServiceChanged(3 * second)
			l.Confirmed(4 * second)
			l.Unanswered()
		}, 4*second + notified},
	} {
		l := New(0, listMaxAge, 0)
		if c.events(&l); l.Expires() != c.want {
			t.Errorf("%s: expires at %v, want %v", name, l.Expires(), c.want)
		}
	}
	if l := New(0, 0, 0); l.Expires() != notified {
		t.Errorf("listMaxAge of 0: expires at %v", l.Expires())
	}
}

// An endpoint is drained just after discovery confirmed the list, and the coordinator does not learn of the drain. The
// platform counts an attempt at the endpoint as a fault once the drain counts as notified and its grace is over. After
// any sequence of events that ends with an unanswered call, the lease expires at least 0.25 s before that instant, or
// at least half of the grace before it if the grace is short.
func TestExpiresBeforeNotificationAndGraceAreOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := time.Duration(rapid.Int64Range(0, int64(2*second)).Draw(t, "grace"))
		l := New(0, listMaxAge, grace)
		now, current := time.Duration(0), time.Duration(0) // current: when last confirmed or unreachable
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(4*second)).Draw(t, "passes"))
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				l.Confirmed(now)
				current = now
			case 1:
				l.Unreachable(now)
				current = now
			case 2:
				l.ServiceChanged(now)
			default:
				l.Unanswered()
			}
		}
		l.Unanswered()
		if l.Expires() > current+notified+max(grace/2, grace-250*time.Millisecond) {
			t.Fatalf("expires at %v; last confirmed or unreachable at %v", l.Expires(), current)
		}
	})
}

// A crowd of 40 s rejects all calls of a fleet that discovery cannot answer in time, and five new versions take over the
// list from each other, one every 3 s. If each of them began a lease of its own, the list would be used for as long as
// the upgrades go on. It is not used longer than by a process that is not upgraded.
func TestResumedLeaseIsNotProlongedByUpgrades(t *testing.T) {
	const fleetWait = 10 * second
	play := func(upgradeEvery time.Duration, begin func(l *Lease)) time.Duration {
		l := New(0, listMaxAge, 0)
		begin(&l)
		for now := second; now < 40*second; now += second {
			if upgradeEvery > 0 && now%upgradeEvery == 0 && now <= 5*upgradeEvery {
				l = Resume(l.State().Shifted(second).Shifted(-second), 0)
			}
			if now < l.Expires() {
				l.Rejected(now, fleetWait)
			}
		}
		return l.Expires()
	}
	for name, begin := range map[string]func(l *Lease){
		"never confirmed": func(*Lease) {},
		"confirmed":       func(l *Lease) { l.Confirmed(second) },
		"watch rejected":  func(l *Lease) { l.Confirmed(second); l.WatchRejected(2 * second) },
		"service changed": func(l *Lease) { l.Confirmed(second); l.ServiceChanged(2 * second) },
	} {
		if got, want := play(3*second, begin), play(0, begin); got != want {
			t.Errorf("%s: expires at %v after five upgrades, want %v as without", name, got, want)
		}
	}
}

// Another process has a change that this one cannot apply. Its list may be used for the grace from then on, whatever
// calls find, until discovery confirms it.
func TestOutdatedListIsUsedForTheGraceOnly(t *testing.T) {
	l := New(0, listMaxAge, second)
	l.Confirmed(2 * second)
	l.Outdated(3 * second)
	l.Unreachable(3 * second)
	if want := 3*second + usableGrace(second); l.Expires() != want {
		t.Errorf("expires at %v, want %v", l.Expires(), want)
	}
	l.Confirmed(4 * second)
	l.Unreachable(5 * second)
	if want := 5*second + notified + usableGrace(second); l.Expires() != want {
		t.Errorf("expires at %v after a confirmation, want %v", l.Expires(), want)
	}
}
