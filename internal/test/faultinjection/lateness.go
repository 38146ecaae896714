package faultinjection

import (
	"sync"
	"time"
)

// lateness is how late this process itself is: on crowded cores a stand-in records what came some time after it came. Records
// are held against the rules with that much more slack for each goroutine on the way. Where this process is held up for longer
// than the rules grant a coordinator, coordinators are too: times that are recorded then say nothing, and are counted instead.
// The zero value was never late.
type schedulingDelay struct {
	mu      sync.Mutex
	delays  []observedDelay
	stopped chan struct{}
}

// delay is by how much a goroutine came late, and when.
type observedDelay struct {
	at       time.Time
	duration time.Duration
}

const (
	delaySampleInterval = 5 * time.Millisecond  // between two looks
	minRecordedDelay    = 10 * time.Millisecond // what counts as late
	delayWindow         = 2 * time.Second       // for how long a delay counts
	goroutinesOnPath    = 3                     // goroutines between a coordinator's socket and a record: two of a link, one of the stand-in
)

// begin has it measured from now on, until end.
func (l *schedulingDelay) start() {
	l.stopped = make(chan struct{})
	go l.sample()
}

func (l *schedulingDelay) sample() {
	for {
		began := time.Now()
		select {
		case <-l.stopped:
			return
		case <-time.After(delaySampleInterval):
		}
		if by := time.Since(began) - delaySampleInterval; by > minRecordedDelay {
			l.record(by)
		}
	}
}

func (l *schedulingDelay) record(by time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for len(l.delays) > 0 && now.Sub(l.delays[0].at) > delayWindow {
		l.delays = l.delays[1:]
	}
	l.delays = append(l.delays, observedDelay{now, by})
}

// recent is the most by which this process has been late of late.
func (l *schedulingDelay) longestRecent() (most time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range l.delays {
		if time.Since(d.at) <= delayWindow {
			most = max(most, d.duration)
		}
	}
	return most
}

// slack is what recorded times are granted now; false where they say nothing.
func (l *schedulingDelay) slack() (d time.Duration, ok bool) {
	by := l.longestRecent()
	return recordingSlack + goroutinesOnPath*by, by <= maxSuspension
}

func (l *schedulingDelay) stop() { close(l.stopped) }
