package http1

import (
	"errors"
	"time"

	"harepass/internal/counters"
	"harepass/internal/socket"
)

// writeTimeout bounds the time of writing an answer, in case the client reads it slowly or not at all.
const writeTimeout = 3 * time.Second

// serve answers the requests of a connection one by one, while a second goroutine reads them. It returns after that
// goroutine has ended and the connection is closed.
func (c *conn) serve() {
	results, clientLeft := make(chan readResult, maxPipelined), make(chan struct{})
	answered, readerEnded := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(readerEnded)
		c.readRequests(results, clientLeft, answered)
	}()
	reason := c.answerRequests(results, clientLeft)
	c.server.mu.Lock()
	c.beginClose(reason)
	c.server.mu.Unlock()
	close(answered)
	<-readerEnded
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.finishClose()
	c.memory = connMemory{charged: c.memory.charged} // the requests that were not answered are dropped
	c.chargeMemory()
	if c.openRequests > 0 { // the connection ended before all requests were answered
		c.server.busyConns--
	}
}

// answerRequests answers queued requests until an answer is the last one or reading has ended. It returns the reason of
// the close, or nil if the close has already begun.
func (c *conn) answerRequests(results <-chan readResult, clientLeft <-chan struct{}) (reason *counters.Counter) {
	for {
		r := <-results
		size := r.size() // the handler may drop what it no longer needs
		c.server.mu.Lock()
		c.queuedBytes -= size
		c.server.mu.Unlock()
		if r.err != nil {
			return c.answerReadError(r.err)
		}
		answer := c.callHandler(r.req, clientLeft)
		answer.Close = answer.Close || r.req.Close
		answer.omitBody = r.req.Method == "HEAD"
		written := c.writeAnswer(answer, len(results) > 0)
		c.requestDone(size)
		switch {
		case !written:
			return closedAnswerNotRead
		case answer.Close:
			return closedLastAnswer
		}
	}
}

// answerReadError handles the error that ended reading. It answers a request that was invalid or took too long, and
// returns the reason of the close, or nil if the close has already begun.
func (c *conn) answerReadError(err error) (reason *counters.Counter) {
	var fault *Error
	switch {
	case errors.As(err, &fault):
		countFault(fault)
		answer := c.server.errorAnswer(fault)
		answer.Close = true
		c.writeAnswer(answer, false)
		return closeReasonOf(fault)
	case errors.Is(err, errClosing):
		return nil
	}
	return closedByClient
}

// writeAnswer writes an answer, and reports whether the socket accepted all of it within writeTimeout. requestsWait
// states whether requests are queued behind the answered one. writeAnswer sets Close if the answer is the connection's
// last.
func (c *conn) writeAnswer(answer *Message, requestsWait bool) bool {
	answer.Close = answer.Close || !requestsWait && c.endsAfterAnswer()
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.Write(answer.Append(nil))
	c.requestAnswered()
	return err == nil
}

// endsAfterAnswer reports whether the connection ends after the answer that is about to be written, if no request is
// queued behind it: because the connection has overflowed, or because the server is draining. In the latter case, the
// connection stays open while the client has sent more: each request that it sent before it was told of the end is
// answered.
func (c *conn) endsAfterAnswer() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.overflowed || !c.server.draining {
		return c.overflowed
	}
	const answered = 1 // the request whose answer is about to be written is still open
	return c.openRequests <= answered && (socket.PeerClosed(c.Conn) || !socket.HasUnread(c.Conn))
}
