package fake

import (
	"io"
	"net"
	"net/http"
	"time"
)

// ServeDiscovery answers each call to discovery with the string that list returns, until the listener is closed. It
// answers only after the wait that the call allows.
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
