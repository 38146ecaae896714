package core

import (
	"harepass/internal/counters"
	"harepass/internal/decide/scatter"
	"harepass/internal/logmsg"
)

// Counters of queries: those accepted, those whose client left, and those that the module did not answer in time.
var (
	queriesAccepted   = counters.New("queries", "taken")
	queriesClientLeft = counters.New("queries", "client_left")
	queriesOverdue    = counters.New("queries", "overdue")
)

// Counters of rejected queries, by what rejected them.
var (
	rejectedQueueFull   = counters.New("queries_refused", "queue_full")
	rejectedOverload    = counters.New("queries_refused", "overload")
	rejectedOpenLimit   = counters.New("queries_refused", "open_limit")
	rejectedListExpired = counters.New("queries_refused", "list_expired")
	rejectedByModule    = counters.New("queries_refused", "module")
)

// listsExpired counts how often the lease on the polled source's list ran out.
var listsExpired = counters.New("lists", "expired")

// Counters of attempts that Begin permitted, and of those that never began, by the reason.
var (
	attemptsBegun      = counters.New("attempts", "begun")
	withheldClientLeft = counters.New("attempts_withheld", "client_left")
	withheldTimeOver   = counters.New("attempts_withheld", "time_over")
	withheldNoRepeat   = counters.New("attempts_withheld", "repeat_window_closed")
	withheldDraining   = counters.New("attempts_withheld", "node_leaving")
	withheldTakenBack  = counters.New("attempts_withheld", "taken_back") // cancelled, or their query is over
)

// Names of statuses and outcomes, in the order of their constants. Log lines use them too.
var (
	statusNames  = [...]string{logmsg.StatusServed, logmsg.StatusRejected, "failed", "invalid"}
	outcomeNames = [...]string{logmsg.OutcomeServed, "error", "full", "timeout", "noconn", "reset", "cancelled", "moot"}
)

var (
	queriesEnded  = countersByName("queries_ended", statusNames[:])   // by Status of the final answer
	attemptsEnded = countersByName("attempts_ended", outcomeNames[:]) // by scatter.Outcome
)

func countersByName(group string, names []string) (list []*counters.Counter) {
	for _, name := range names {
		list = append(list, counters.New(group, name))
	}
	return list
}

func countAnswer(s Status) { queriesEnded[s].Inc() }

func countOutcome(o scatter.Outcome) { attemptsEnded[o].Inc() }
