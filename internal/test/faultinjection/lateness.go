package faultinjection

import (
	"sync"
	"time"
)

// lateness is how late this process itself is: on crowded cores a stand-in records what came some time after it came. Records
// are held against the rules with that much more slack for each goroutine on the way. Where this process is held up for longer
// than the rules grant a coordinator, coordinators are too: times that are recorded then say nothing, and are counted instead.
// The zero value was never late.
type lateness struct {
	mu     sync.Mutex
	delays []delay
	stop   chan struct{}
}

// delay is by how much a goroutine came late, and when.
type delay struct {
	at time.Time
	by time.Duration
}

const (
	lateLook   = 5 * time.Millisecond  // between two looks
	lateLeast  = 10 * time.Millisecond // what counts as late
	lateWindow = 2 * time.Second       // for how long a delay counts
	onTheWay   = 3                     // goroutines between a coordinator's socket and a record: two of a link, one of the stand-in
)

// begin has it measured from now on, until end.
func (l *lateness) begin() {
	l.stop = make(chan struct{})
	go l.run()
}

func (l *lateness) run() {
	for {
		began := time.Now()
		select {
		case <-l.stop:
			return
		case <-time.After(lateLook):
		}
		if by := time.Since(began) - lateLook; by > lateLeast {
			l.note(by)
		}
	}
}

func (l *lateness) note(by time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for len(l.delays) > 0 && now.Sub(l.delays[0].at) > lateWindow {
		l.delays = l.delays[1:]
	}
	l.delays = append(l.delays, delay{now, by})
}

// recent is the most by which this process has been late of late.
func (l *lateness) recent() (most time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range l.delays {
		if time.Since(d.at) <= lateWindow {
			most = max(most, d.by)
		}
	}
	return most
}

// slack is what recorded times are granted now; false where they say nothing.
func (l *lateness) slack() (d time.Duration, ok bool) {
	by := l.recent()
	return recordSlack + onTheWay*by, by <= mostHoldUp
}

func (l *lateness) end() { close(l.stop) }
