// Package http1 speaks HTTP/1.1 on plain connections: requests and answers with a length or in chunks, keep-alive and
// pipelining, and limits on all of it. The header syntax is net/textproto's.
//
// # Contract
//
// A Reader parses the messages of one connection, in whatever pieces their bytes come. What two readers could take
// differently is an *Error, never a guess. A Client sends one request at a time over one connection. Both are for one
// goroutine at a time.
//
// A Server answers the requests of each connection in their order, and calls Handler for one of them at a time. It
// reads on meanwhile: only so it notices that the client has left. Its methods are for any goroutine. Every
// connection has a goroutine that answers and one that reads; both end with the connection, and Shutdown waits for
// them.
//
// A request that was read is answered, whatever else happens, and no end of a connection resets an answer that is on
// its way to a client which still reads. A connection therefore goes through states (open, closing, closed) under the
// server's lock: a request is either read while the connection is open, and answered, or not read at all.
//
// # Where each decision stands
//
//	message.go      messages, limits and errors, and how a message is written
//	status.go       the status codes
//	reader.go       the parser's states, and lines
//	reader_head.go  start line and header fields, and how the body ends
//	reader_body.go  bodies of known length, in chunks, and up to the end of the connection
//	client.go       the client
//	server.go       accepting connections, draining, shutdown
//	eviction.go     how many connections there may be, and which one makes way for the next
//	conn.go         the states of a connection, and the deadlines for its requests
//	conn_read.go    how requests are read, and how many may wait
//	conn_answer.go  how they are answered, and when the connection ends
//	conn_close.go   how a connection is closed without losing a request or an answer
//	counters.go     what is counted, with the reason of each close
package http1
