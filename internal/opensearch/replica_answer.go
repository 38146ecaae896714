package opensearch

import (
	"encoding/json"
	"net/http"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
	"harepass/internal/http1"
)

// rejectionTypes are the types of errors that say that a thread pool's queue was full, so that the request never began.
// Other errors with status 429, a tripped circuit breaker for one, can come when a share of it has run.
var rejectionTypes = map[string]bool{
	typeRejectedExecution:                     true,
	"es_rejected_execution_exception":         true,
	"opensearch_rejected_execution_exception": true,
}

// replicaAnswer is what outcomeOf reads of a replica's answer.
type replicaAnswer struct {
	Error struct {
		Type string `json:"type"`
	} `json:"error"`
	TimedOut bool            `json:"timed_out"`
	Shards   *shardCounts    `json:"_shards"`
	Hits     json.RawMessage `json:"hits"`
	Result   string          `json:"result"`
}

// recordAnswer sets the attempt's evidence, if it asked for any, and the status of a fault that the replica has found in
// the request, and returns its outcome and value.
//
// A search that asks for evidence has an aggregation of the coordinator's own beside the client's query, so a 400 may
// be the fault of either, and must not reach the client as if the client had worded all of it. In a first phase it
// proves nothing: the part is sent in full next. In a full search WithVersion it is an error of the attempt; the Caller
// sends that search once more as the client has worded it, before it comes to that.
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

// recordPlainAnswer does what recordAnswer does, for the answer to a request without anything of the coordinator's own.
func recordPlainAnswer(at *core.Attempt, m *http1.Message) (scatter.Outcome, []byte) {
	outcome, value := outcomeOf(m, at.Origin != nil)
	if outcome == scatter.Succeeded && m.Status >= http.StatusBadRequest {
		at.FaultStatus = m.Status
	}
	return outcome, value
}

// outcomeOf returns what a replica's answer makes of an attempt, and its value. A search answer that the replica
// itself does not call complete is an error. clientWorded says that the request is the client's own: what a replica
// finds wrong with it is its final answer, since other replicas would find the same.
func outcomeOf(m *http1.Message, clientWorded bool) (scatter.Outcome, []byte) {
	var answer replicaAnswer
	if json.Unmarshal(m.Body, &answer) != nil {
		return scatter.Errored, nil
	}
	switch {
	case m.Status == http.StatusTooManyRequests && rejectionTypes[answer.Error.Type]:
		return scatter.Rejected, nil
	case m.Status == http.StatusConflict && answer.Error.Type == typeVersionConflict: // the document is stored already
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

// completeSearch reports whether the replica calls its answer to a search complete.
func (a *replicaAnswer) completeSearch() bool {
	return len(a.Hits) > 0 && !a.TimedOut && a.Shards != nil && a.Shards.Failed == 0
}
