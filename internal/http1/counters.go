package http1

import (
	"strconv"

	"harepass/internal/counters"
)

// Counters of the server's connections and requests.
var (
	countAccepted        = counters.New("client_connections", "accepted")
	countAcceptFailed    = counters.New("client_connections", "accept_failed")
	countHandlerPanicked = counters.New("client_requests", "panicked")
	countBytesAfterClose = counters.New("client_connections", "bytes_after_close") // connections with discarded bytes
)

// Counters of closed connections by reason, so that an operator can tell why the server closed them.
var (
	closedNoRequest     = counters.New("client_connections_closed", "no_request")  // no first request arrived in time
	closedIdle          = counters.New("client_connections_closed", "resting")     // idle for keepAliveTimeout
	closedSurplus       = counters.New("client_connections_closed", "surplus")     // idle connections exceeded MaxIdle
	closedEvicted       = counters.New("client_connections_closed", "room")        // evicted for a new connection
	closedAtShutdown    = counters.New("client_connections_closed", "shutdown")    // idle when the server shut down
	closedLastAnswer    = counters.New("client_connections_closed", "last_answer") // after its last answer
	closedForMemory     = counters.New("client_connections_closed", "memory")      // requests exceeded MaxRequestBytes
	closedBadRequest    = counters.New("client_connections_closed", "bad_request") // request was invalid or too slow
	closedByClient      = counters.New("client_connections_closed", "client_left")
	closedAnswerNotRead = counters.New("client_connections_closed", "answer_not_taken") // writing the answer failed
)

// Counters of the requests that could not be read, by the status of their answer.
var (
	countInvalid = countersByStatus(StatusBadRequest, StatusRequestTimeout, StatusContentTooLarge,
		StatusHeaderFieldsTooLarge, StatusNotImplemented, StatusServiceUnavailable, StatusVersionNotSupported)
	countInvalidOther = counters.New("client_requests_invalid", "other")
)

func countersByStatus(statuses ...int) map[int]*counters.Counter {
	byStatus := map[int]*counters.Counter{}
	for _, status := range statuses {
		byStatus[status] = counters.New("client_requests_invalid", strconv.Itoa(status))
	}
	return byStatus
}

// countFault counts a request that could not be read.
func countFault(e *Error) {
	if c := countInvalid[e.Status]; c != nil {
		c.Inc()
		return
	}
	countInvalidOther.Inc()
}
