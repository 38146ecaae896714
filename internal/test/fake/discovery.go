package fake

import (
	"io"
	"net"
	"net/http"
	"time"
)

// ServeDiscovery answers each call with the list that a function returns, until the listener is closed. A call that may
// wait is answered after its wait.
func ServeDiscovery(l net.Listener, list func() string) {
	http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if wait := ParsePoll(req).Wait; wait > 0 {
			select {
			case <-time.After(wait):
			case <-req.Context().Done():
			}
		}
		io.WriteString(w, list())
	}))
}
