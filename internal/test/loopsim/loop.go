package loopsim

import (
	"time"

	"harepass/internal/decide/overload"
)

// job is an attempt that was admitted.
type job struct {
	attempt
	end time.Duration // when the loop has finished it
}

// signals are what the loop has gathered since the admission control observed it last.
type signals struct {
	busy     time.Duration // work begun
	waits    time.Duration // sum of the waits of the admitted attempts
	admitted int           // admitted attempts
}

// meanWait returns the mean wait of the admitted attempts; 0 if there were none.
func (s signals) meanWait() time.Duration {
	if s.admitted == 0 {
		return 0
	}
	return s.waits / time.Duration(s.admitted)
}

// observeUntil gives the admission control the loop's signals at the end of each interval up to an instant, unless the
// process is stalled then.
func (r *run) observeUntil(until time.Duration) {
	for ; r.nextObserve <= until; r.nextObserve += r.admission.Interval() {
		if r.Stalled == nil || !r.Stalled(r.nextObserve) {
			r.observe()
		}
	}
}

// observe gives the admission control the loop's signals, and begins to gather them anew.
func (r *run) observe() {
	r.finish(r.nextObserve)
	wait := r.signals.meanWait()
	if len(r.queue) > 0 {
		// The oldest query in the queue arrived so long ago; a stalled loop would otherwise show no wait at all.
		wait = max(wait, r.nextObserve-r.queue[0].at)
	}
	coresUsed := min(1, r.signals.busy.Seconds()/r.admission.Interval().Seconds())
	r.admission.Observe(overload.Signals{MeanWait: wait, CoresUsed: coresUsed}, r.nextObserve)
	r.signals = signals{}
}

// finish removes the jobs that the loop has finished by an instant, and reports them to the admission control.
func (r *run) finish(until time.Duration) {
	for len(r.queue) > 0 && r.queue[0].end <= until {
		r.admission.QueryDone(r.queue[0].load.Parts)
		r.queue = r.queue[1:]
	}
}

// enqueue adds an admitted attempt to the loop's queue, and returns when the loop will have finished it.
func (r *run) enqueue(a attempt) (end time.Duration) {
	span := r.QueryTime + time.Duration(a.load.Parts)*r.PartTime
	r.freeAt = r.work(max(r.freeAt, a.at), span)
	wait := max(0, r.freeAt-a.at-span)
	r.signals.waits += wait
	r.signals.admitted++
	r.result.Waits, r.result.WaitedFrom = append(r.result.Waits, wait), append(r.result.WaitedFrom, a.at)
	r.queue = append(r.queue, job{a, r.freeAt})
	return r.freeAt
}

// work has the loop work for a span, from an instant on or from the end of a stall, and returns when it is done.
func (r *run) work(from, span time.Duration) time.Duration {
	for r.Stalled != nil && r.Stalled(from) {
		from += time.Millisecond
	}
	r.signals.busy += span
	return from + span
}
