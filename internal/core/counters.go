package core

import (
	"errors"

	"harepass/internal/counters"
	"harepass/internal/decide/scatter"
	"harepass/internal/decide/twophase"
	"harepass/internal/logmsg"
)

// Counters of queries. The names of all counters are part of the external interface, so they keep older terms.
var (
	queriesAccepted   = counters.New("queries", "taken")       // opened
	queriesClientLeft = counters.New("queries", "client_left") // opened, then the client left
	queriesUnanswered = counters.New("queries", "overdue")     // opened, but the module did not answer in time
)

// Counters of rejected queries, by the reason for the rejection.
var (
	rejectedQueueFull   = counters.New("queries_refused", "queue_full")
	rejectedOverload    = counters.New("queries_refused", "overload")
	rejectedOpenLimit   = counters.New("queries_refused", "open_limit")
	rejectedListExpired = counters.New("queries_refused", "list_expired")
	rejectedStopped     = counters.New("queries_refused", "stopped")
	rejectedByModule    = counters.New("queries_refused", "module")
)

// Counters of queries that cannot be served as they are, by what is wrong with them.
var (
	invalidID      = counters.New("queries_invalid", "id")
	invalidTakenID = counters.New("queries_invalid", "id_taken")
	invalidClass   = counters.New("queries_invalid", "class")
	invalidTenant  = counters.New("queries_invalid", "tenant")
	invalidTime    = counters.New("queries_invalid", "no_time_left")
	invalidParts   = counters.New("queries_invalid", "parts")
	invalidKey     = counters.New("queries_invalid", "idempotency_key")
)

// countInvalid counts a query that is answered as Invalid because of err.
func countInvalid(err error) {
	var part *InvalidPartError
	switch {
	case errors.Is(err, ErrInvalidID):
		invalidID.Inc()
	case errors.Is(err, ErrDuplicateID):
		invalidTakenID.Inc()
	case errors.Is(err, ErrUnknownClass):
		invalidClass.Inc()
	case errors.Is(err, ErrUnknownTenant):
		invalidTenant.Inc()
	case errors.Is(err, ErrNoTimeLeft):
		invalidTime.Inc()
	case errors.Is(err, ErrNoParts), errors.As(err, &part):
		invalidParts.Inc()
	default:
		invalidKey.Inc()
	}
}

// listsExpired counts how often the lease on the polled source's list ran out.
var listsExpired = counters.New("lists", "expired")

// attemptsBegun counts the attempts that Begin has permitted.
var attemptsBegun = counters.New("attempts", "begun")

// attemptsWithheld counts the attempts that never began, by reason. withheldCancelled counts only attempts whose Caller
// called Begin after the coordinator had cancelled them: a Caller that drops a cancelled attempt without calling Begin
// adds nothing to the count.
var attemptsWithheld = [...]*counters.Counter{
	withheldClientLeft:   counters.New("attempts_withheld", "client_left"),
	withheldDeadline:     counters.New("attempts_withheld", "time_over"),
	withheldWindowClosed: counters.New("attempts_withheld", "repeat_window_closed"),
	withheldUnsendable:   counters.New("attempts_withheld", "node_leaving"),
	withheldCancelled:    counters.New("attempts_withheld", "taken_back"),
}

// firstPhasesEnded counts the first phases of parts, by what their answers prove.
var firstPhasesEnded = [...]*counters.Counter{
	twophase.Inconclusive: counters.New("first_phases", "inconclusive"),
	twophase.NeedsFull:    counters.New("first_phases", "needs_full"),
	twophase.Empty:        counters.New("first_phases", "empty"),
	twophase.Unchanged:    counters.New("first_phases", "unchanged"),
	twophase.Contradicted: counters.New("first_phases", "contradicted"),
}

// Names of statuses and outcomes in counters and log lines.
var (
	statusNames = [...]string{
		Served: logmsg.StatusServed, Rejected: logmsg.StatusRejected, Failed: "failed", Invalid: "invalid",
	}
	outcomeNames = [...]string{
		scatter.Succeeded:       logmsg.OutcomeServed,
		scatter.Errored:         "error",
		scatter.Rejected:        "full",
		scatter.TimedOut:        "timeout",
		scatter.ConnectFailed:   "noconn",
		scatter.ConnectionReset: "reset",
		scatter.Cancelled:       "cancelled",
		scatter.NotSent:         "moot",
	}
)

var (
	// queriesEnded counts the final answers to opened queries, by Status. Queries answered before they are opened
	// (invalid, not admitted, over the open limit) are not included, so the counter for Invalid stays 0.
	queriesEnded = countersByName("queries_ended", statusNames[:])
	// attemptsEnded counts the attempts that have ended, by scatter.Outcome.
	attemptsEnded = countersByName("attempts_ended", outcomeNames[:])
	// attemptsRetried counts the attempts beyond the first of a part, by the outcome of the one before.
	attemptsRetried = countersByName("attempts_retried", outcomeNames[:])
	// attemptsHedged counts the attempts that were decided while an earlier attempt of the part was out.
	attemptsHedged = counters.New("attempts_retried", "hedged")
)

func countersByName(group string, names []string) (list []*counters.Counter) {
	for _, name := range names {
		list = append(list, counters.New(group, name))
	}
	return list
}

func countAnswer(s Status) { queriesEnded[s].Inc() }

// countRetry counts a new attempt of a part by what became of the one before.
func countRetry(before *Attempt) {
	if before.ended {
		attemptsRetried[before.outcome].Inc()
	} else {
		attemptsHedged.Inc()
	}
}

func countOutcome(o scatter.Outcome) { attemptsEnded[o].Inc() }
