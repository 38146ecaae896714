package lifecycle

import (
	"log/slog"
	"time"

	"harepass/internal/decide/scatter"
	"harepass/internal/logmsg"
)

// Times of the drain. SIGINT is handled like SIGTERM; "SIGTERM" means either in this file.
const (
	// AcceptAfterTerm is how long new connections are still accepted after SIGTERM, because clients learn with a delay
	// that a coordinator drains. It does not apply if the platform holds the listener.
	AcceptAfterTerm = 700 * time.Millisecond
	// MaxCloseIdleDelay is the longest time from the end of AcceptAfterTerm until connections without an open request
	// are closed.
	MaxCloseIdleDelay = 500 * time.Millisecond
	// MaxKillDelay is the time from the end of AcceptAfterTerm to the earliest kill by the platform, which is thus
	// 3.7 s after SIGTERM. If the longest deadline of all classes is shorter, it takes the place of MaxKillDelay.
	MaxKillDelay = 3 * time.Second
	// maxKillMargin is the longest time from the moment at which the last answer is due to the earliest kill.
	maxKillMargin = 100 * time.Millisecond
)

// drainSchedule holds the times at which steps of a drain are due. Both times count from SIGTERM, even if the platform
// holds the listener.
type drainSchedule struct {
	closeIdleAfter  time.Duration // when connections without an open request are closed
	lastAnswerAfter time.Duration // by when every query is answered; earlier than the platform may kill
}

// newDrainSchedule returns the schedule for classes. With short deadlines, idle connections are closed earlier, so that
// a request that arrived just before can still be answered in time.
func newDrainSchedule(classes []scatter.Class) drainSchedule {
	longest := time.Duration(0)
	for _, c := range classes {
		longest = max(longest, c.Deadline)
	}
	killDelay := min(longest, MaxKillDelay)
	return drainSchedule{
		closeIdleAfter:  AcceptAfterTerm + min(MaxCloseIdleDelay, killDelay/2),
		lastAnswerAfter: AcceptAfterTerm + killDelay - min(maxKillMargin, killDelay/4),
	}
}

// drain answers every accepted query, including those that still arrive while clients learn that this coordinator is
// ending, and then ends the process. The steps are:
//
//  1. The coordinator starts to drain: it is no longer ready, and each query, open or new, is answered by
//     lastAnswerAfter.
//  2. New connections are still accepted for AcceptAfterTerm. This step is skipped if the platform holds the listener:
//     new connections are then left to the process that takes over, from SIGTERM on.
//  3. The listeners are closed. From now on each connection closes after its next answer. This step closes no
//     connection without an answer, because clients still use theirs and another coordinator may not be ready yet.
//  4. At closeIdleAfter, connections without an open request are closed. The others close after their answers; drain
//     waits for these.
//  5. The coordinator stops.
//  6. The connections to replicas and the admin endpoint are closed.
func (p *process) drain() {
	schedule := newDrainSchedule(p.Settings.Classes)
	slog.Info("drain started", "phase", p.coordinator.Phase().String(),
		"idle_close_after", schedule.closeIdleAfter, "last_answer_after", schedule.lastAnswerAfter)
	began := time.Now()
	p.coordinator.Drain()
	if p.ListenerFD == 0 {
		time.Sleep(AcceptAfterTerm)
	}
	p.stopAccepting()
	for _, f := range p.fronts {
		f.server.Drain()
	}
	time.Sleep(schedule.closeIdleAfter - time.Since(began))
	for _, f := range p.fronts {
		f.server.Shutdown()
	}
	p.coordinator.Stop()
	for _, stop := range p.onStop {
		stop()
	}
	slog.Info(logmsg.CoordinatorStopped)
}

// stopAccepting closes the listeners. Connections in the backlog of this process's own listener are accepted first;
// those in the backlog of the platform's listener are left to the process that takes over.
func (p *process) stopAccepting() {
	for _, f := range p.fronts {
		if p.ListenerFD == 0 {
			f.server.CloseListener(f.listener)
		} else {
			f.listener.Close()
		}
	}
}
