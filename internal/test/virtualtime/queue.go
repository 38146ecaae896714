// Package virtualtime provides the event queue of simulations that run in virtual time. The same calls always yield the
// same events in the same order, and no call waits for real time. Instants are readings of the simulation's virtual
// clock.
package virtualtime

import (
	"container/heap"
	"iter"
	"time"
)

// Queue holds events until they are due. It yields them in the order of their instants, and events of the same instant
// in the order of their addition. The zero value is empty and ready to use. A Queue is not safe for concurrent use.
type Queue[Event any] struct {
	pending scheduledEvents[Event]
	added   int // events added so far
}

// Add schedules an event at an instant. The instant may lie before those of events that were already removed.
func (q *Queue[Event]) Add(at time.Duration, event Event) {
	q.added++
	heap.Push(&q.pending, scheduled[Event]{at: at, number: q.added, event: event})
}

// Len returns the number of scheduled events.
func (q *Queue[Event]) Len() int { return len(q.pending) }

// Pop removes the earliest event and returns it with its instant. It panics if Len is 0.
func (q *Queue[Event]) Pop() (at time.Duration, event Event) {
	first := heap.Pop(&q.pending).(scheduled[Event])
	return first.at, first.event
}

// Until removes and yields the events due at or before end. Events that the caller adds while it ranges over them are
// included.
func (q *Queue[Event]) Until(end time.Duration) iter.Seq2[time.Duration, Event] {
	return func(yield func(time.Duration, Event) bool) {
		for len(q.pending) > 0 && q.pending[0].at <= end {
			if !yield(q.Pop()) {
				return
			}
		}
	}
}

// scheduled is an event with the keys that order it in the queue.
type scheduled[Event any] struct {
	at     time.Duration
	number int // sequence number of its addition; it orders events with the same instant
	event  Event
}

// scheduledEvents implements heap.Interface, with the earliest event on top.
type scheduledEvents[Event any] []scheduled[Event]

func (s scheduledEvents[Event]) Len() int { return len(s) }

func (s scheduledEvents[Event]) Less(i, j int) bool {
	if s[i].at != s[j].at {
		return s[i].at < s[j].at
	}
	return s[i].number < s[j].number
}

func (s scheduledEvents[Event]) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

func (s *scheduledEvents[Event]) Push(x any) { *s = append(*s, x.(scheduled[Event])) }

func (s *scheduledEvents[Event]) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}
