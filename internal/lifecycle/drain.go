package lifecycle

import (
	"log/slog"
	"time"

	"harepass/internal/decide/scatter"
	"harepass/internal/logmsg"
)

// Times of the end. SIGINT is handled as SIGTERM is; "SIGTERM" stands for both here.
const (
	// AcceptAfterTerm is how long after SIGTERM new connections are accepted: clients learn late that a coordinator
	// drains. It does not apply where the platform holds the listener.
	AcceptAfterTerm = 700 * time.Millisecond
	// MaxCloseIdleDelay is how long after the end of AcceptAfterTerm connections without an open request are closed at
	// the latest.
	MaxCloseIdleDelay = 500 * time.Millisecond
	// MaxKillDelay is counted from the end of AcceptAfterTerm. The platform kills no sooner than this, 3.7 s after
	// SIGTERM; where the longest deadline of a class is shorter, it may kill when that is over.
	MaxKillDelay = 3 * time.Second
	// maxKillMargin is how long before the earliest kill the last answer is due, at most.
	maxKillMargin = 100 * time.Millisecond
)

// drainSchedule says when the steps of the end are due. Both times count from SIGTERM, also where the platform holds
// the listener.
type drainSchedule struct {
	closeIdleAfter  time.Duration // connections without an open request are closed at this time
	lastAnswerAfter time.Duration // the last query has its answer by this time, which is before the platform may kill
}

// newDrainSchedule returns the schedule for classes. Where deadlines are short, idle connections close early enough
// that a request which came just before can still be answered.
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

// drain ends the process: every query that was accepted is answered, and so is what still comes while clients learn
// that this coordinator ends. The order is:
//
//  1. The coordinator begins to drain: it is no longer ready, and each query, open or new, has its answer by
//     lastAnswerAfter.
//  2. New connections are accepted for AcceptAfterTerm. This step is left out where the platform holds the listener:
//     new connections are then for the process that takes over, from the beginning on.
//  3. The listeners are closed, and from then on each answer is the last one of its connection. Clients go on using
//     their connections, and another coordinator may not be up yet, so no connection is closed without an answer here.
//  4. At closeIdleAfter, connections without an open request are closed; the others close with their answers, which
//     drain waits for.
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

// stopAccepting closes the listeners. Connections that wait at a listener of this process are accepted first; those at
// one that the platform holds are for the process that takes over.
func (p *process) stopAccepting() {
	for _, f := range p.fronts {
		if p.ListenerFD == 0 {
			f.server.CloseListener(f.listener)
		} else {
			f.listener.Close()
		}
	}
}
