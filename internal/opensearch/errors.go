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

// The API's error types that the front uses.
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

// replier is an error that builds its own answer to the client. Every error that the front returns to a client is one.
type replier interface {
	error
	reply() *http1.Message
}

// errorReply returns the answer to a request that ended in an error.
func errorReply(err error) *http1.Message {
	var r replier
	if !errors.As(err, &r) { // not reached: every error of the front is a replier
		r = &apiError{http.StatusInternalServerError, typeSearchPhase, err.Error()}
	}
	return r.reply()
}

// apiError describes, in the API's own terms, what is wrong with a request or why it failed. The client receives all of
// it.
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

// errorEnvelope is the body of every error answer of the API, except that for a wrong method.
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

// badRequestf returns the error of a request that the client has to change before it sends it again.
func badRequestf(errorType, format string, args ...any) error {
	return &apiError{http.StatusBadRequest, errorType, fmt.Sprintf(format, args...)}
}

// rejectedError is the error of a rejected request. It promises that a retry is harmless.
type rejectedError struct {
	retryAfter time.Duration
}

const rejectedReason = "rejected by the coordinator: a retry is harmless, try again later"

// Error gives the time to wait before a retry.
func (e *rejectedError) Error() string { return fmt.Sprintf("rejected, retry after %v", e.retryAfter) }

// reply rounds the wait up to whole seconds, at least 1: the API's Retry-After takes no fractions, and 0 would be no
// wait.
func (e *rejectedError) reply() *http1.Message {
	m := (&apiError{http.StatusTooManyRequests, typeRejectedExecution, rejectedReason}).reply()
	m.Header.Set("Retry-After", strconv.Itoa(max(1, int(math.Ceil(e.retryAfter.Seconds())))))
	return m
}

// failedError returns the error of a failed query, which promises nothing about what was executed. Its status is 500,
// since clients of the API take 502, 503 and 504 as an invitation to send the request again.
func failedError(reason string) error {
	return &apiError{http.StatusInternalServerError, typeSearchPhase, reason}
}

// methodError is the error of a request whose path does not accept its method.
type methodError struct {
	target, method string
	allowed        []string
}

// Error names the allowed methods.
func (e *methodError) Error() string {
	return fmt.Sprintf("Incorrect HTTP method for uri [%s] and method [%s], allowed: [%s]",
		e.target, e.method, strings.Join(e.allowed, ", "))
}

// reply puts the text in the place of the envelope's error object, as the API does for a wrong method.
func (e *methodError) reply() *http1.Message {
	status := http.StatusMethodNotAllowed
	m := jsonReply(status, map[string]any{"status": status, "error": e.Error()})
	m.Header.Set("Allow", strings.Join(e.allowed, ", "))
	return m
}

// ErrorResponse answers a request that is not valid HTTP or is too large. It is the ErrorAnswer of the http1.Server
// that serves a Front. Any goroutine may call it.
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
	if err != nil { // a raw value is not JSON; the decoder that extracted it has ruled that out
		status = http.StatusInternalServerError
		data = []byte(`{"error":"answer cannot be encoded","status":500}`)
	}
	header := textproto.MIMEHeader{"Content-Type": {"application/json; charset=UTF-8"}}
	return &http1.Message{Status: status, Header: header, Body: data}
}
