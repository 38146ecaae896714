// Package http1 implements an HTTP/1.1 client and server on plain connections: requests and answers with a length or in
// chunks, keep-alive and pipelining, with limits on all of them.
//
// # Contract
//
// A Reader parses the messages of one connection, however their bytes are split across reads. It rejects with an *Error
// every message that two readers could interpret differently. A Client sends one request at a time over one connection.
// A Reader and a Client must not be used by several goroutines at once, except for Client.Abort.
//
// A Server answers the requests of each connection in the order of their arrival, and calls Handler for one request of
// a connection at a time. It keeps reading the connection while Handler runs, because reading is the only way to notice
// that the client has left. Its methods may be called from any goroutine. Every connection has one goroutine that
// answers requests and one that reads them; both end with the connection, and Shutdown waits for them.
//
// The server answers every request that it has read, and it never closes a connection in a way that resets an answer on
// its way to a client that still reads. Each connection therefore moves through the states open, closing and closed
// under the server's lock: the server either reads a request while the connection is open, and answers it, or does not
// read the request at all.
//
// # Files
//
//	message.go        messages, limits and errors, and the encoding of a message
//	status.go         status codes and reason phrases
//	reader.go         the parser's states, and lines
//	reader_head.go    start line and header fields, and how the body ends
//	reader_body.go    bodies of known length, in chunks, and up to the end of the connection
//	client.go         the client
//	server.go         accepting connections, draining, shutdown
//	eviction.go       the limit on connections, and which one is evicted for a new one
//	conn.go           the states of a connection, and the deadlines of its requests
//	conn_read.go      reading requests, and the limit on pipelined ones
//	conn_memory.go    the limit on the memory of all requests together
//	conn_answer.go    answering requests, and when the connection ends
//	conn_close.go     closing a connection without losing a request or an answer
//	handler_panic.go  recovery from a panic in Handler
//	counters.go       counters, with the reason of each close
//	usage.go          what the connections hold now
package http1
