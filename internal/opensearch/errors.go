package opensearch

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"harepass/internal/http1"
)

// The API's types of errors that the front gives.
const (
	typeIllegalArgument   = "illegal_argument_exception"
	typeParsing           = "parsing_exception"
	typeMapperParsing     = "mapper_parsing_exception"
	typeRequestValidation = "action_request_validation_exception"
	typeIndexNotFound     = "index_not_found_exception"
	typeSecurity          = "security_exception"
	typeContentTooLong    = "content_too_long_exception"
	typeRejectedExecution = "rejected_execution_exception"
	typeSearchPhase       = "search_phase_execution_exception"
	typeNoShardAvailable  = "no_shard_available_action_exception"
	typeVersionConflict   = "version_conflict_engine_exception"
)

// replier is an error that knows its answer to the client. Each error that the front gives a client is one.
type replier interface {
	error
	reply() *http1.Message
}

// errorReply returns the answer to a request that ended in an error.
func errorReply(err error) *http1.Message {
	var r replier
	if !errors.As(err, &r) { // no path of the front gives such an error
		r = &apiError{http.StatusInternalServerError, typeSearchPhase, err.Error()}
	}
	return r.reply()
}

// apiError is what is wrong with a request, or what became of it, in the API's own terms. The client is told all of it.
type apiError struct {
	status    int
	errorType string
	reason    string
}

// Error returns the type and the reason.
func (e *apiError) Error() string { return e.errorType + ": " + e.reason }

// cause is an error's type and reason on the wire.
type cause struct {
	Type   string `json:"type"`
	Reason string `json:"reason"`
}

// errorEnvelope is the body in which the API tells any error but a wrong method.
type errorEnvelope struct {
	Error struct {
		RootCause []cause `json:"root_cause"`
		cause
	} `json:"error"`
	Status int `json:"status"`
}

func (e *apiError) reply() *http1.Message {
	var env errorEnvelope
	env.Error.cause = cause{e.errorType, e.reason}
	env.Error.RootCause = []cause{env.Error.cause}
	env.Status = e.status
	return jsonReply(e.status, env)
}

// badRequestf returns the error of a request that has to be changed before it is sent again.
func badRequestf(errorType, format string, args ...any) error {
	return &apiError{http.StatusBadRequest, errorType, fmt.Sprintf(format, args...)}
}

// rejectedError is the error of a request that was rejected, with the promise that a retry is harmless.
type rejectedError struct {
	retryAfter time.Duration
}

const rejectedReason = "rejected by the coordinator: a retry is harmless, try again later"

// Error says when to retry.
func (e *rejectedError) Error() string { return fmt.Sprintf("rejected, retry after %v", e.retryAfter) }

// reply rounds the pause up: the API's Retry-After takes whole seconds only, and 0 would be no pause.
func (e *rejectedError) reply() *http1.Message {
	m := (&apiError{http.StatusTooManyRequests, typeRejectedExecution, rejectedReason}).reply()
	m.Header.Set("Retry-After", strconv.Itoa(max(1, int(math.Ceil(e.retryAfter.Seconds())))))
	return m
}

// failedError returns the error of a query that was given up, promising nothing. Its status is 500 since clients of
// the API take 502, 503 and 504 for an invitation to send the request again.
func failedError(reason string) error {
	return &apiError{http.StatusInternalServerError, typeSearchPhase, reason}
}

// methodError is the error of a request whose method its path does not take.
type methodError struct {
	target, method string
	allowed        []string
}

// Error names the methods that are allowed.
func (e *methodError) Error() string {
	return fmt.Sprintf("Incorrect HTTP method for uri [%s] and method [%s], allowed: [%s]",
		e.target, e.method, strings.Join(e.allowed, ", "))
}

// reply has, as in the API, the text for a wrong method in the place of an envelope's error.
func (e *methodError) reply() *http1.Message {
	status := http.StatusMethodNotAllowed
	m := jsonReply(status, map[string]any{"status": status, "error": e.Error()})
	m.Header.Set("Allow", strings.Join(e.allowed, ", "))
	return m
}

// ErrorResponse answers a request that is not even HTTP or is too large. It is the ErrorAnswer of the server before a
// Front, and for any goroutine.
func ErrorResponse(e *http1.Error) *http1.Message {
	errorType := typeIllegalArgument
	if e.Status == http.StatusRequestEntityTooLarge {
		errorType = typeContentTooLong
	}
	return (&apiError{e.Status, errorType, e.Text}).reply()
}

// jsonReply returns an answer with a JSON body.
func jsonReply(status int, body any) *http1.Message {
	data, err := json.Marshal(body)
	if err != nil { // a raw part that is no JSON; the decoder that cut it out has ruled that out
		status = http.StatusInternalServerError
		data = []byte(`{"error":"answer cannot be encoded","status":500}`)
	}
	header := textproto.MIMEHeader{"Content-Type": {"application/json; charset=UTF-8"}}
	return &http1.Message{Status: status, Header: header, Body: data}
}
