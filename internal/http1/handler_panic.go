package http1

import (
	"fmt"
	"log/slog"
	"runtime/debug"

	"harepass/internal/logmsg"
)

// A panic in a handler is that of one request: the handler's goroutine holds no lock that others need, and what it has
// changed is the request's own. The request ends with 500, its connection after that, and the process goes on. A panic
// anywhere else ends the process, for its state cannot be trusted any more: in the coordinator's goroutine, in those of
// connections, and in what handlers call under a lock, whose owner has to see to that (loadshed.Shedder).

// callHandler returns the handler's answer to a request, or 500 where the handler panics.
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
