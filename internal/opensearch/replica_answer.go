package opensearch

import (
	"encoding/json"
	"net/http"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
	"harepass/internal/http1"
)

// rejectionTypes are the error types that report that a thread pool's queue was full, so the request never began. Other
// errors with status 429, such as a tripped circuit breaker, can occur after some of the request has run.
var rejectionTypes = map[string]bool{
	typeRejectedExecution:                     true,
	"es_rejected_execution_exception":         true,
	"opensearch_rejected_execution_exception": true,
}

// replicaAnswer has the fields of a replica's answer that outcomeOf reads.
type replicaAnswer struct {
	Error struct {
		Type string `json:"type"`
	} `json:"error"`
	TimedOut bool            `json:"timed_out"`
	Shards   *shardCounts    `json:"_shards"`
	Hits     json.RawMessage `json:"hits"`
	Result   string          `json:"result"`
}

// recordAnswer returns the outcome and the value of an attempt. It also sets the attempt's evidence if the attempt
// requests it, and the status of a fault that the replica found in the request.
//
// A search that requests evidence has an aggregation that the coordinator added to the client's query. A 400 may report
// a fault of either, so it must not reach the client as if the client had worded the whole search. In a first phase a
// 400 proves nothing, and the part is sent in full next. In a full search WithVersion a 400 is an error of the attempt;
// Caller.send avoids that error by first sending the search again as the client worded it.
func recordAnswer(at *core.Attempt, m *http1.Message) (scatter.Outcome, []byte) {
	if !at.FirstPhase && !at.WithVersion {
		return recordPlainAnswer(at, m)
	}
	at.Evidence = evidenceOf(m)
	if at.FirstPhase && m.Status == http.StatusBadRequest {
		return scatter.Succeeded, nil
	}
	return outcomeOf(m, false)
}

// recordPlainAnswer records the answer to a request to which the coordinator added nothing: it sets the status of a
// fault that the replica found in the request, and returns the outcome and the value of the attempt.
func recordPlainAnswer(at *core.Attempt, m *http1.Message) (scatter.Outcome, []byte) {
	outcome, value := outcomeOf(m, at.Origin != nil)
	if outcome == scatter.Succeeded && m.Status >= http.StatusBadRequest {
		at.FaultStatus = m.Status
	}
	return outcome, value
}

// outcomeOf returns the outcome and the value that a replica's answer gives an attempt. A search answer that the
// replica itself does not mark as complete is an error. clientWorded means that the client worded the request: a fault
// that the replica finds in such a request is the final answer, since other replicas would find the same.
func outcomeOf(m *http1.Message, clientWorded bool) (scatter.Outcome, []byte) {
	var answer replicaAnswer
	if json.Unmarshal(m.Body, &answer) != nil {
		return scatter.Errored, nil
	}
	switch {
	case m.Status == http.StatusTooManyRequests && rejectionTypes[answer.Error.Type]:
		return scatter.Rejected, nil
	case m.Status == http.StatusConflict && answer.Error.Type == typeVersionConflict: // the document is already stored
		return scatter.Succeeded, m.Body
	case clientWorded && m.Status == http.StatusBadRequest && answer.Error.Type != "":
		return scatter.Succeeded, m.Body
	case (m.Status == http.StatusOK || m.Status == http.StatusCreated) && answer.Result != "":
		return scatter.Succeeded, m.Body
	case m.Status == http.StatusOK && answer.completeSearch():
		return scatter.Succeeded, answer.Hits
	}
	return scatter.Errored, nil
}

// completeSearch reports whether the replica marks its answer to a search as complete.
func (a *replicaAnswer) completeSearch() bool {
	return len(a.Hits) > 0 && !a.TimedOut && a.Shards != nil && a.Shards.Failed == 0
}
