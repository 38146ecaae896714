package http1

import "harepass/internal/counters"

// This file is what the server counts, with the reason of each close: an operator has to be able to tell why a client's
// connection ended.
var (
	countAccepted        = counters.New("client_connections", "accepted")
	countAcceptFailed    = counters.New("client_connections", "accept_failed")
	countBytesAfterClose = counters.New("client_connections", "bytes_after_close") // connections on which bytes came after our end

	closedNoRequest     = counters.New("client_connections_closed", "no_request")  // none came in time
	closedIdle          = counters.New("client_connections_closed", "resting")     // used, and idle for long
	closedSurplus       = counters.New("client_connections_closed", "surplus")     // used, and more of them idle than are kept
	closedEvicted       = counters.New("client_connections_closed", "room")        // made way for another one
	closedAtShutdown    = counters.New("client_connections_closed", "shutdown")    // idle when the server ended
	closedLastAnswer    = counters.New("client_connections_closed", "last_answer") // the answer before said so
	closedBadRequest    = counters.New("client_connections_closed", "bad_request")
	closedByClient      = counters.New("client_connections_closed", "client_left")
	closedAnswerNotRead = counters.New("client_connections_closed", "answer_not_taken")
)
