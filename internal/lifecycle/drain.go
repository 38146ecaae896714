package lifecycle

import (
	"log/slog"
	"time"

	"harepass/internal/decide/scatter"
	"harepass/internal/logmsg"
)

// Times of the end, counted from SIGTERM.
const (
	// AcceptAfterTerm is how long new connections are accepted: clients learn late that a coordinator drains.
	AcceptAfterTerm = 700 * time.Millisecond
	// MaxCloseIdleDelay is how long after AcceptAfterTerm connections without an open request are closed at the latest.
	MaxCloseIdleDelay = 500 * time.Millisecond
	// MaxKillDelay is how long after AcceptAfterTerm the platform kills at the latest. With shorter deadlines it kills
	// when the longest is over.
	MaxKillDelay = 3 * time.Second
	// maxKillMargin is how long before the kill the last answer is due.
	maxKillMargin = 100 * time.Millisecond
)

// drainTimes are those after SIGTERM.
type drainSchedule struct {
	closeIdleAfter  time.Duration // connections without an open request are closed
	lastAnswerAfter time.Duration // the last query has its answer: before the platform kills
}

// drainTimesOf gives the times for classes. Where deadlines are short, idle connections close early enough that what
// came just before can still be answered.
func newDrainSchedule(classes []scatter.Class) drainSchedule {
	longest := time.Duration(0)
	for _, c := range classes {
		longest = max(longest, c.Deadline)
	}
	kill := min(longest, MaxKillDelay)
	return drainSchedule{
		closeIdleAfter:  AcceptAfterTerm + min(MaxCloseIdleDelay, kill/2),
		lastAnswerAfter: AcceptAfterTerm + kill - min(maxKillMargin, kill/4),
	}
}

// drain answers everything that was taken, and what still comes while clients learn that this coordinator ends. They
// go on using their connections, and another coordinator may not be up yet, so a connection closes with an answer, or
// once it has long been without a request. Where the platform holds the listener, new connections are left to the
// process that takes over, from the beginning on.
func (p *process) drain() {
	times := newDrainSchedule(p.Settings.Classes)
	slog.Info("drain started", "phase", p.coordinator.Phase().String(),
		"idle_close_after", times.closeIdleAfter, "last_answer_after", times.lastAnswerAfter)
	began := time.Now()
	p.coordinator.Drain()
	if p.ListenerFD == 0 {
		time.Sleep(AcceptAfterTerm)
	}
	p.stopAccepting()
	for _, f := range p.fronts {
		f.server.Drain()
	}
	time.Sleep(times.closeIdleAfter - time.Since(began))
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
