package http1

import "harepass/internal/counters"

// What the server counts of its connections.
var (
	countAccepted        = counters.New("client_connections", "accepted")
	countAcceptFailed    = counters.New("client_connections", "accept_failed")
	countHandlerPanicked = counters.New("client_requests", "panicked")
	countBytesAfterClose = counters.New("client_connections", "bytes_after_close") // connections on which some came
)

// Why the server closed a connection. An operator has to be able to tell.
var (
	closedNoRequest     = counters.New("client_connections_closed", "no_request")  // no request came in time
	closedIdle          = counters.New("client_connections_closed", "resting")     // idle for keepAliveTimeout
	closedSurplus       = counters.New("client_connections_closed", "surplus")     // used, and over MaxIdle
	closedEvicted       = counters.New("client_connections_closed", "room")        // it made way for another one
	closedAtShutdown    = counters.New("client_connections_closed", "shutdown")    // idle when the server shut down
	closedLastAnswer    = counters.New("client_connections_closed", "last_answer") // its last answer was given
	closedBadRequest    = counters.New("client_connections_closed", "bad_request") // the request could not be read
	closedByClient      = counters.New("client_connections_closed", "client_left")
	closedAnswerNotRead = counters.New("client_connections_closed", "answer_not_taken") // writing the answer failed
)
