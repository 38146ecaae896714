package faultinjection

import (
	"sync"
	"time"
)

const (
	// delaySampleInterval is how long the sampler sleeps for each sample.
	delaySampleInterval = 5 * time.Millisecond
	// minRecordedDelay is the least delay that is recorded; the sampler ignores shorter ones.
	minRecordedDelay = 10 * time.Millisecond
	// delayWindow is how long a recorded delay counts.
	delayWindow = 2 * time.Second
	// goroutinesOnPath is how many goroutines are on the way from a coordinator's socket to the record of an event: two
	// of a link and one of the fake.
	goroutinesOnPath = 3
	// recordingSlack is how long after its event a record may be made in a process that is scheduled in time.
	recordingSlack = 100 * time.Millisecond
	// maxSuspension is the longest suspension of a coordinator that the rules allow for. If this process is delayed
	// by more than that, coordinators may have been suspended for longer as well.
	maxSuspension = 150 * time.Millisecond
)

// schedulingDelay measures how late this process is scheduled. On a busy machine a fake records an event some time
// after it happened, as if a coordinator had acted late. So the time checks allow the longest recent delay as slack for
// each goroutine between the event and its record. If this process is delayed by more than maxSuspension, coordinators
// may be as well, and recorded times are not checked. The zero value has recorded no delay.
type schedulingDelay struct {
	mu     sync.Mutex
	delays []observedDelay // within delayWindow of the latest, oldest first

	stopped chan struct{} // closed by stop
	running sync.WaitGroup
}

// observedDelay is a delay that the sampler has recorded.
type observedDelay struct {
	at       time.Time
	duration time.Duration
}

// start starts the sampler, which runs until stop.
func (s *schedulingDelay) start() {
	s.stopped = make(chan struct{})
	s.running.Go(s.sample)
}

// stop stops the sampler. It must be called exactly once, after start.
func (s *schedulingDelay) stop() {
	close(s.stopped)
	s.running.Wait()
}

// sample sleeps repeatedly and records how much longer than delaySampleInterval each sleep takes.
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

// record adds a delay that has just ended, and drops delays that no longer count.
func (s *schedulingDelay) record(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for len(s.delays) > 0 && now.Sub(s.delays[0].at) > delayWindow {
		s.delays = s.delays[1:]
	}
	s.delays = append(s.delays, observedDelay{now, d})
}

// longestRecent is the longest delay of the last delayWindow.
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

// slack returns the slack for times that are recorded now. If judged is false, these times must not be checked.
func (s *schedulingDelay) slack() (slack time.Duration, judged bool) {
	longest := s.longestRecent()
	return recordingSlack + goroutinesOnPath*longest, longest <= maxSuspension
}
