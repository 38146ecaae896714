package backoff

import "time"

// This file says when what a coordinator may have missed binds, and cuts the time until then into pieces.
//
// Binds goes before everything else that is allowed after a failed, refused or given-up call, after a watch that fell
// silent and at the start of a process. Of a change that discovery has while a watch stands silently broken, a coordinator
// hears in the worst case after Hold and Silence, its moment in Spread, and the Answer to the call that it then makes; of
// one that came while discovery could not be reached, after an Answer that it waited for in vain, its moment in Spread and
// another Answer. Both sums end inside Binds, with the rest for the owner's turn. Where the fleet cannot all be heard in that
// time, nobody is kept from asking for it: see within.
const (
	// Binds is after what time a change counts as told that discovery had, and could be reached for.
	NotifiedAfter = 6 * time.Second
	// Hold is how long a watch waits that brings nothing. A renewed watch costs discovery no turn.
	WatchHold = NotifiedAfter / 6
	// Silence is how long after its hold a watch without a word has fallen silent.
	WatchSilence = NotifiedAfter / 12
	// Answer is how long a call that does not wait for news is waited for.
	CallTimeout = 3 * NotifiedAfter / 8
	// Spread is the most time over which the coordinators of a fleet ask that lost discovery together.
	MaxSpread = 5 * NotifiedAfter / 24
)

// What a discovery that a reload names has to tell binds sooner: Moved after the reload. Of a first call that failed at any
// moment until a second one is answered the sum ends inside that.
const (
	NotifiedAfterReload = 4 * time.Second
	movedAnswer         = 3 * NotifiedAfterReload / 8
	movedSpread         = NotifiedAfterReload / 8
)

// Where lists are pushed, an agent of the coordinator's own has them; what it has counts as told at once. Nobody else waits
// for it, so it is asked without a pause and answers without one. It says nothing while discovery is down, also to a watch
// that stands then: of what it has afterwards a coordinator hears at the latest AgentTold later, which is the sum of
// agentHold, agentSilence and agentPause, and of agentAnswer and agentPause, with some time for the answer.
const (
	agentHold    = NotifiedAfter / 30
	agentSilence = NotifiedAfter / 60
	agentAnswer  = NotifiedAfter / 24
	agentPause   = NotifiedAfter / 120

	// AgentTold is after what time a coordinator has what its agent holds.
	AgentNotifiedAfter = NotifiedAfter / 15
)

// WatchTimeouts is how long a watch may wait for news, and how long after that one without a word has fallen silent.
func (p *Schedule) WatchTimeouts() (hold, silence time.Duration) {
	if p.Pushed {
		return agentHold, agentSilence
	}
	return WatchHold, WatchSilence
}

// RenewDelay is how long to wait before a watch is renewed, after one that brought nothing and took so long. A service that does
// not hold watches is not to be asked all the time; the pause is shorter than what ends a watch.
func (p *Schedule) RenewDelay(took time.Duration) time.Duration {
	if hold, _ := p.WatchTimeouts(); took < hold/2 {
		return renewPause
	}
	return 0
}

const renewPause = NotifiedAfter / 120

// CallTimeout is how long to wait for a call that does not wait for news.
func (p *Schedule) CallTimeout() time.Duration {
	switch {
	case p.Pushed:
		return agentAnswer
	case p.moved:
		return movedAnswer
	}
	return CallTimeout
}

// spread is the most time over which a fleet asks that lost discovery together.
func (p *Schedule) spread() time.Duration {
	if p.moved {
		return movedSpread
	}
	return MaxSpread
}
