package loopsim

import (
	"time"

	"harepass/internal/decide/overload"
)

// job is an admitted attempt in the loop's queue.
type job struct {
	attempt
	end time.Duration // instant at which the loop finishes it
}

// signals accumulate what the loop reports at the next call of Admission.Observe.
type signals struct {
	busy     time.Duration // loop time of the work started
	waits    time.Duration // sum of the waits of the admitted attempts
	admitted int           // admitted attempts
}

// meanWait returns the mean wait of the admitted attempts, or 0 if there were none.
func (s signals) meanWait() time.Duration {
	if s.admitted == 0 {
		return 0
	}
	return s.waits / time.Duration(s.admitted)
}

// observeUntil calls observe at the end of each interval up to an instant. It skips the intervals that end while the
// process is stalled.
func (r *run) observeUntil(until time.Duration) {
	for ; r.nextObserve <= until; r.nextObserve += r.admission.Interval() {
		if r.Stalled == nil || !r.Stalled(r.nextObserve) {
			r.observe()
		}
	}
}

// observe reports the loop's signals to the admission control and resets them.
func (r *run) observe() {
	r.finish(r.nextObserve)
	wait := r.signals.meanWait()
	if len(r.queue) > 0 {
		// Report at least the age of the oldest query in the queue: a stalled loop would otherwise report no wait.
		wait = max(wait, r.nextObserve-r.queue[0].at)
	}
	coresUsed := min(1, r.signals.busy.Seconds()/r.admission.Interval().Seconds())
	r.admission.Observe(overload.Signals{MeanWait: wait, CoresUsed: coresUsed}, r.nextObserve)
	r.signals = signals{}
}

// finish removes the jobs that the loop finishes by an instant, and reports each one to the admission control.
func (r *run) finish(until time.Duration) {
	for len(r.queue) > 0 && r.queue[0].end <= until {
		r.admission.QueryDone(r.queue[0].load.Parts)
		r.queue = r.queue[1:]
	}
}

// enqueue adds an admitted attempt to the loop's queue, records its wait, and returns the end of its processing.
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

// work charges the loop for work of a given span and returns the end of that work. The work starts at an instant, or at
// the end of the stall if the process is stalled then.
func (r *run) work(from, span time.Duration) time.Duration {
	for r.Stalled != nil && r.Stalled(from) {
		from += time.Millisecond
	}
	r.signals.busy += span
	return from + span
}
