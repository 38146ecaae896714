package core

import (
	"harepass/internal/counters"
	"harepass/internal/decide/scatter"
)

// This file is what the owner counts: how queries and attempts ended, and why attempts were withheld.
var (
	queriesTaken       = counters.New("queries", "taken")
	queriesClientLeft  = counters.New("queries", "client_left")
	queriesOverdue     = counters.New("queries", "overdue") // the module gave no answer in time
	refusedQueueFull   = counters.New("queries_refused", "queue_full")
	refusedOverload    = counters.New("queries_refused", "overload")
	refusedOpenLimit   = counters.New("queries_refused", "open_limit")
	refusedListExpired = counters.New("queries_refused", "list_expired")
	listsExpired       = counters.New("lists", "expired")
	refusedByModule    = counters.New("queries_refused", "module")
	attemptsBegun      = counters.New("attempts", "begun")
	withheldClientLeft = counters.New("attempts_withheld", "client_left")
	withheldTimeOver   = counters.New("attempts_withheld", "time_over")
	withheldNoRepeat   = counters.New("attempts_withheld", "repeat_window_closed")
	withheldLeaving    = counters.New("attempts_withheld", "node_leaving")
	withheldTakenBack  = counters.New("attempts_withheld", "taken_back") // by the owner: given up, or the query is over
)

// queriesEnded counts final answers by their verdict.
var queriesEnded = countersByName("queries_ended", verdictNames[:])

// attemptsEnded counts attempts by their outcome.
var attemptsEnded = countersByName("attempts_ended", outcomeNames[:])

func countersByName(what string, names []string) (list []*counters.Counter) {
	for _, name := range names {
		list = append(list, counters.New(what, name))
	}
	return list
}

func countAnswer(v Status) { queriesEnded[v].Inc() }

func countOutcome(outcome scatter.Outcome) { attemptsEnded[outcome].Inc() }
