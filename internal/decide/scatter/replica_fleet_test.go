package scatter

import (
	"testing"
	"time"
)

// replicaFleet is a harness with replicas that each serve parts after their own time. A negative time means that the
// replica never answers. An outcome in failures is how its parts end after that time.
type replicaFleet struct {
	*harness
	service  map[string]time.Duration
	failures map[string]Outcome
	out      []struct {
		Send
		no   int
		sent time.Duration
	}
	attempts map[string]int
	sent     map[string]int // by replica, since the last clear
	ends     map[string]int // answered, rejected, failed
}

func newReplicaFleet(t *testing.T, s Settings, ids ...string) *replicaFleet {
	f := &replicaFleet{
		harness: start(t, s, names(ids...)...), service: map[string]time.Duration{}, failures: map[string]Outcome{},
		attempts: map[string]int{},
	}
	for _, id := range ids {
		f.service[id] = 100 * ms
	}
	f.clear()
	return f
}

func (f *replicaFleet) clear() { f.sent, f.ends = map[string]int{}, map[string]int{} }

func (f *replicaFleet) take(acts []Action) {
	for _, act := range acts {
		switch x := act.(type) {
		case Send:
			f.sent[x.Replica]++
			f.out = append(f.out, struct {
				Send
				no   int
				sent time.Duration
			}{x, f.attempts[x.Part], f.now})
			f.attempts[x.Part]++
		case Answer:
			f.ends["answered"]++
		case Reject:
			f.ends["rejected"]++
		case Fail:
			f.ends["failed"]++
		case CancelAttempt:
			for i := range f.out {
				if f.out[i].Part == x.Part && f.out[i].no == x.Attempt {
					f.out[i].Timeout = 0 // it ends as cancelled in the next turn
				}
			}
		}
	}
}

// run simulates a span of time with a query of one part every gap.
func (f *replicaFleet) run(span, gap time.Duration) {
	next := f.now
	for until := f.now + span; f.now < until; {
		var events []Event
		rest := f.out[:0]
		for _, o := range f.out {
			age, takes := f.now-o.sent, f.service[o.Replica]
			switch {
			case o.Timeout == 0:
				events = append(events, ended(o.Part, o.no, o.Replica, Cancelled, age))
			case takes >= 0 && age >= takes:
				events = append(events, ended(o.Part, o.no, o.Replica, f.failures[o.Replica], age))
			case age >= o.Timeout:
				events = append(events, ended(o.Part, o.no, o.Replica, TimedOut, age))
			default:
				rest = append(rest, o)
			}
		}
		f.out = rest
		f.take(f.step(0, append(events, TimerFired{})...))
		if f.now >= next {
			next += gap
			f.take(f.query("c", 0))
		}
		f.now += 5 * ms
	}
}

// share returns the share of all sends that a replica got.
func (f *replicaFleet) share(id string) float64 {
	total := 0
	for _, n := range f.sent {
		total += n
	}
	return float64(f.sent[id]) / float64(max(total, 1))
}
