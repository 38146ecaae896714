package failover

import "time"

// firstProbeSpread is the time over which the first probes are spread when the source of several readers becomes stale.
const firstProbeSpread = 300 * time.Millisecond

// probeBackoff is the delay between two probes for a fresher source. It doubles after each round of probes to all other
// sources.
var probeBackoff = backoff{100 * time.Millisecond, 3 * time.Second}

// probeSearch is the search for a fresher source while the current one is stale.
type probeSearch struct {
	nextProbe time.Duration // earliest instant of the next probe
	probes    int           // number of probes since the source became stale
	next      int           // index of the first candidate to consider for the next probe
}

// FresherIn returns the time until Fresher may return a source. It returns 0 if Fresher may do so now, and while the
// current source is not stale.
func (s *Selector) FresherIn(now time.Duration) time.Duration {
	if !s.Stale() {
		return 0
	}
	return max(0, s.search.nextProbe-now)
}

// Fresher returns a source to probe while the current one is stale. It returns the other sources in turn, in the order
// of the candidates, and skips those in backoff. ok is false if there is none now. A returned source counts as probed,
// so the caller must probe it. Fresher returns the next source only after probeBackoff.
func (s *Selector) Fresher(now time.Duration) (source Source, ok bool) {
	search := &s.search
	if !s.Stale() || now < search.nextProbe {
		return Source{}, false
	}
	for offset := range s.candidates {
		i := (search.next + offset) % len(s.candidates)
		if i == s.current || s.candidates[i].retryAt > now {
			continue
		}
		rounds := search.probes / max(1, len(s.candidates)-1)
		search.next = i + 1
		search.nextProbe = now + probeBackoff.delay(rounds, s.rand)
		search.probes++
		return s.candidates[i].Source, true
	}
	return Source{}, false
}
