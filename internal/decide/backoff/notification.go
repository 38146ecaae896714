package backoff

import "time"

// A change of the endpoint list counts as notified to a coordinator NotifiedAfter after discovery had it and could be
// reached, whether or not the coordinator has learned of it. That time is divided such that the coordinator has an
// answer before its end, in the two worst cases:
//
//   - The change comes while the coordinator's watch is broken and does not show it: WatchHold and WatchSilence pass
//     until the watch counts as lost, up to MaxSpread until the coordinator calls, and CallTimeout until that call is
//     answered.
//   - The change comes while discovery cannot be reached: CallTimeout passes until a call fails, up to MaxSpread until
//     the next one begins, and CallTimeout until that is answered.
//
// What remains of NotifiedAfter is for the coordinator to act on the answer.
const (
	// NotifiedAfter is the time after which a change counts as notified.
	NotifiedAfter = 6 * time.Second
	// WatchHold is how long discovery may hold a watch that has nothing to report. Renewing a watch occupies no call
	// slot.
	WatchHold = NotifiedAfter / 6 // 1 s
	// WatchSilence is how long after its hold an unanswered watch counts as lost.
	WatchSilence = NotifiedAfter / 12 // 0.5 s
	// CallTimeout is how long an answer to a call that is not a watch is waited for, where neither an agent nor a newly
	// named service calls for less (Schedule.AnswerTimeout).
	CallTimeout = 3 * NotifiedAfter / 8 // 2.25 s
	// MaxSpread bounds the delay after a lost watch or a failed call, in a fleet that discovery can answer in time.
	MaxSpread = 5 * NotifiedAfter / 24 // 1.25 s
)

// When a reload of the settings names another discovery service, what that service has counts as notified
// NotifiedAfterReload after the reload. A call that fails, the delay after it and a call that is answered fit into it.
const (
	// NotifiedAfterReload is the time after which the endpoint list of a newly named service counts as notified.
	NotifiedAfterReload = 4 * time.Second
	// reloadCallTimeout stands in for CallTimeout until the new service has answered.
	reloadCallTimeout = 3 * NotifiedAfterReload / 8 // 1.5 s
	// reloadMaxSpread stands in for MaxSpread until the new service has answered.
	reloadMaxSpread = NotifiedAfterReload / 8 // 0.5 s
)

// What an agent holds counts as notified at once. Nobody else calls the agent, so calls to it need not be spread and
// are answered without a queue. While discovery is down the agent answers nothing, not even a watch. Once it can answer
// again, a coordinator learns of its list within the larger of two sums: agentWatchHold, agentWatchSilence and
// agentDelay; or agentCallTimeout and agentDelay. AgentNotifiedAfter leaves some time for the answer.
const (
	agentWatchHold    = NotifiedAfter / 30  // 0.2 s; instead of WatchHold
	agentWatchSilence = NotifiedAfter / 60  // 0.1 s; instead of WatchSilence
	agentCallTimeout  = NotifiedAfter / 24  // 0.25 s; instead of CallTimeout
	agentDelay        = NotifiedAfter / 120 // 50 ms; between a failed call or a lost watch and the next call

	// AgentNotifiedAfter is the time after which a coordinator has the endpoint list that its agent can serve.
	AgentNotifiedAfter = NotifiedAfter / 15 // 0.4 s
)

// renewDelay is the pause before a watch is renewed that discovery did not hold. It is shorter than any hold, so that
// changes are still learned of in time.
const renewDelay = NotifiedAfter / 120 // 50 ms

// WatchTimeouts returns how long discovery is asked to hold a watch, and how long after that hold an unanswered watch
// counts as lost.
func (s *Schedule) WatchTimeouts() (hold, silence time.Duration) {
	if s.UsesAgent {
		return agentWatchHold, agentWatchSilence
	}
	return WatchHold, WatchSilence
}

// AnswerTimeout returns how long to wait for the answer to a call that is not a watch.
func (s *Schedule) AnswerTimeout() time.Duration {
	switch {
	case s.UsesAgent:
		return agentCallTimeout
	case s.awaitingNewService && !s.needsWholeLease(): // there is no time for a second call
		return reloadCallTimeout
	}
	return CallTimeout
}

// maxSpread bounds the delay after a failed call, in a fleet that discovery can answer in time.
func (s *Schedule) maxSpread() time.Duration {
	if s.awaitingNewService {
		return reloadMaxSpread
	}
	return MaxSpread
}
