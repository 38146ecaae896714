package backoff

import "time"

// A change of the endpoint list counts as notified to a coordinator NotifiedAfter after discovery had the change and
// could be reached, whether or not the coordinator has learned of it. NotifiedAfter is divided so that the coordinator
// has an answer before it ends, even in the two worst cases:
//
//   - The change happens while the coordinator's watch is broken but not yet known to be: WatchHold and WatchSilence
//     pass until the watch counts as lost, up to MaxSpread until the coordinator calls, and up to CallTimeout until
//     discovery answers that call.
//   - The change happens while discovery cannot be reached: up to CallTimeout passes until a call fails, up to
//     MaxSpread until the next call begins, and up to CallTimeout until discovery answers that call.
//
// The coordinator acts on the answer in the rest of NotifiedAfter.
const (
	// NotifiedAfter is the time after which a change counts as notified.
	NotifiedAfter = 6 * time.Second
	// WatchHold is how long discovery may hold a watch while it has no change to report. Renewing a watch occupies no
	// call slot.
	WatchHold = NotifiedAfter / 6 // 1 s
	// WatchSilence is the time after the end of its hold at which an unanswered watch counts as lost.
	WatchSilence = NotifiedAfter / 12 // 0.5 s
	// CallTimeout is how long a coordinator waits for the answer to a call that is not a watch. The wait may be shorter
	// for an agent or for a newly named service (Schedule.AnswerTimeout).
	CallTimeout = 3 * NotifiedAfter / 8 // 2.25 s
	// MaxSpread bounds the delay after a lost watch, and after a failed call in a fleet that discovery can answer in
	// time.
	MaxSpread = 5 * NotifiedAfter / 24 // 1.25 s
)

// When a reload of the settings names another discovery service, the endpoint list of that service counts as notified
// NotifiedAfterReload after the reload. This time is enough for a call that fails, the delay after it and a second call
// that discovery answers.
const (
	// NotifiedAfterReload is the time after which the endpoint list of a newly named service counts as notified.
	NotifiedAfterReload = 4 * time.Second
	// reloadCallTimeout replaces CallTimeout until the new service has answered.
	reloadCallTimeout = 3 * NotifiedAfterReload / 8 // 1.5 s
	// reloadMaxSpread replaces MaxSpread after a failed call until the new service has answered.
	reloadMaxSpread = NotifiedAfterReload / 8 // 0.5 s
)

// The endpoint list that an agent holds counts as notified at once. No other process calls the agent, so calls to it
// need not be spread and the agent answers them without a queue. While discovery is down, the agent answers no call and
// no watch. Once the agent can answer again, the coordinator learns of its list within the larger of two sums:
// agentWatchHold, agentWatchSilence and agentDelay; or agentCallTimeout and agentDelay. AgentNotifiedAfter leaves some
// time for the answer.
const (
	agentWatchHold    = NotifiedAfter / 30  // 0.2 s; replaces WatchHold
	agentWatchSilence = NotifiedAfter / 60  // 0.1 s; replaces WatchSilence
	agentCallTimeout  = NotifiedAfter / 24  // 0.25 s; replaces CallTimeout
	agentDelay        = NotifiedAfter / 120 // 50 ms; between a failed call or a lost watch and the next call

	// AgentNotifiedAfter is the time within which a coordinator gets the endpoint list that its agent can serve.
	AgentNotifiedAfter = NotifiedAfter / 15 // 0.4 s
)

// renewDelay is the pause before the coordinator renews a watch that discovery answered without holding it. It is
// shorter than any hold, so the coordinator still learns of changes in time.
const renewDelay = NotifiedAfter / 120 // 50 ms

// WatchTimeouts returns how long the coordinator asks discovery to hold a watch, and how long after the end of that
// hold an unanswered watch counts as lost.
func (s *Schedule) WatchTimeouts() (hold, silence time.Duration) {
	if s.UsesAgent {
		return agentWatchHold, agentWatchSilence
	}
	return WatchHold, WatchSilence
}

// AnswerTimeout returns how long the coordinator waits for the answer to a call that is not a watch.
func (s *Schedule) AnswerTimeout() time.Duration {
	switch {
	case s.UsesAgent:
		return agentCallTimeout
	case s.awaitingNewService && !s.needsWholeLease(): // needsWholeLease leaves no time for a second call
		return reloadCallTimeout
	}
	return CallTimeout
}

// maxSpread bounds the delay after a failed call in a fleet that discovery can answer in time.
func (s *Schedule) maxSpread() time.Duration {
	if s.awaitingNewService {
		return reloadMaxSpread
	}
	return MaxSpread
}
