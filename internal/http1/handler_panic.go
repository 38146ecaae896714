package http1

import (
	"fmt"
	"log/slog"
	"runtime/debug"

	"harepass/internal/logmsg"
)

// A panic in a handler affects one request only: the handler's goroutine holds no lock that other goroutines need, and
// has changed only the state of its request. The request is answered with 500, its connection ends after that, and the
// process continues. Any other panic ends the process, because its state can no longer be trusted: a panic in the
// coordinator's goroutine, in the goroutines of connections, or in code that handlers call under a lock. The owner of
// such a lock must ensure that (loadshed.Shedder does).

// callHandler returns the handler's answer to a request, or an answer with status 500 if the handler panics.
func (c *conn) callHandler(req *Message, clientLeft <-chan struct{}) (answer *Message) {
	defer func() {
		if v := recover(); v != nil {
			countHandlerPanicked.Inc()
			slog.Error(logmsg.HandlerPanicked, logmsg.KeyError, fmt.Sprint(v), "method", req.Method,
				"stack", string(debug.Stack()))
			answer = c.server.errorAnswer(&Error{Status: StatusInternalServerError, Text: "internal error"})
			answer.Close = true
		}
	}()
	return c.server.Handler(req, clientLeft)
}
