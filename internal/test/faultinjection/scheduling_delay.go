package faultinjection

import (
	"sync"
	"time"
)

const (
	// delaySampleInterval is the time that a sampler sleeps.
	delaySampleInterval = 5 * time.Millisecond
	// minRecordedDelay is by how much the sampler must wake late for a delay to count.
	minRecordedDelay = 10 * time.Millisecond
	// delayWindow is for how long a delay counts.
	delayWindow = 2 * time.Second
	// goroutinesOnPath is how many goroutines stand between a coordinator's socket and a record: two of a link, one
	// of the fake.
	goroutinesOnPath = 3
	// recordingSlack is what a record may lag behind its event in a process that is scheduled in time.
	recordingSlack = 100 * time.Millisecond
	// maxSuspension is for how long the rules grant a coordinator to be suspended. A delay of this process beyond
	// it means that coordinators may have been suspended for longer, too.
	maxSuspension = 150 * time.Millisecond
)

// schedulingDelay is by how much this process is scheduled late. On a busy machine a fake records an event some time
// after it happened, which looks as if a coordinator had acted late. So each goroutine on the way is granted the delay
// as slack. Where this process is late by more than coordinators are granted, coordinators may be too: recorded times
// then say nothing. The zero value was never late.
type schedulingDelay struct {
	mu     sync.Mutex
	delays []observedDelay // within delayWindow of the latest, oldest first

	stopped chan struct{} // closed by stop
	running sync.WaitGroup
}

// observedDelay is one time that the sampler woke late.
type observedDelay struct {
	at       time.Time
	duration time.Duration
}

// start begins to sample, until stop.
func (s *schedulingDelay) start() {
	s.stopped = make(chan struct{})
	s.running.Go(s.sample)
}

// stop ends the sampling. It is to be called once after start.
func (s *schedulingDelay) stop() {
	close(s.stopped)
	s.running.Wait()
}

// sample sleeps again and again, and records by how much it wakes late.
func (s *schedulingDelay) sample() {
	for {
		began := time.Now()
		select {
		case <-s.stopped:
			return
		case <-time.After(delaySampleInterval):
		}
		if late := time.Since(began) - delaySampleInterval; late > minRecordedDelay {
			s.record(late)
		}
	}
}

// record adds a delay that ends now.
func (s *schedulingDelay) record(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for len(s.delays) > 0 && now.Sub(s.delays[0].at) > delayWindow {
		s.delays = s.delays[1:]
	}
	s.delays = append(s.delays, observedDelay{now, d})
}

// longestRecent is the longest delay within delayWindow.
func (s *schedulingDelay) longestRecent() (longest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.delays {
		if time.Since(d.at) <= delayWindow {
			longest = max(longest, d.duration)
		}
	}
	return longest
}

// slack is what times that are recorded now are granted. They are not to be judged where it reports false.
func (s *schedulingDelay) slack() (slack time.Duration, judged bool) {
	longest := s.longestRecent()
	return recordingSlack + goroutinesOnPath*longest, longest <= maxSuspension
}
