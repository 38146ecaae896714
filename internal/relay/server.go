package relay

import (
	"context"
	"encoding/json"
	"net"
	"net/url"
	"sync/atomic"
	"time"

	"harepass/internal/distribution"
	"harepass/internal/http1"
)

// The URL paths that a Server serves.
const (
	EndpointsPath = string(distribution.Endpoints)
	SettingsPath  = string(distribution.Settings)
	StatusPath    = "/relay/status"
)

const (
	// maxRequestHead is the size limit of a call's head, in bytes.
	maxRequestHead = 4 << 10
	// maxRequestBody is the size limit of a call's body, in bytes.
	maxRequestBody = 1 << 10
	// extraConns is how many connections are allowed beyond the limit of readers. They serve readers that are rejected
	// with an answer, and status calls.
	extraConns = 16
)

// Server answers the readers of two resources over HTTP. Create it with NewServer.
type Server struct {
	// Endpoints is the resource that is served at EndpointsPath.
	Endpoints *Resource
	// Settings is the resource that is served at SettingsPath.
	Settings *Resource

	maxReaders int64
	startedAt  time.Time
	server     *http1.Server
	watches    context.Context    // ends at Shutdown; waiting readers are answered then
	endWatches context.CancelFunc // ends watches

	readers         atomic.Int64 // open calls
	rejectedReaders atomic.Int64 // calls rejected because the limit of readers was reached
	bytesIn         atomic.Int64 // bytes on all connections, including headers
	bytesOut        atomic.Int64 // bytes on all connections, including headers
}

// NewServer returns a server that admits at most maxReaders open calls for its resources.
func NewServer(endpoints, settings *Resource, maxReaders int) *Server {
	s := &Server{Endpoints: endpoints, Settings: settings, maxReaders: int64(maxReaders), startedAt: time.Now()}
	s.watches, s.endWatches = context.WithCancel(context.Background())
	s.server = &http1.Server{Handler: s.handle, MaxConns: maxReaders + extraConns,
		Limits: http1.Limits{Head: maxRequestHead, Body: maxRequestBody, Fields: http1.NoFields}}
	return s
}

// Serve accepts readers until the listener is closed, and returns nil or the error of closing it. It must be called
// only once.
func (s *Server) Serve(listener net.Listener) error {
	return s.server.Serve(countingListener{listener, s})
}

// Shutdown answers the open calls and closes all connections. Before Shutdown is called, the listener must be closed
// and Serve must have returned: see http1.Server.Shutdown.
func (s *Server) Shutdown() {
	s.server.Drain()
	s.endWatches()
	s.server.Shutdown()
}

// handle answers a call. clientLeft is closed if the client disconnects before it is answered.
func (s *Server) handle(request *http1.Message, clientLeft <-chan struct{}) *http1.Message {
	target, err := url.ParseRequestURI(request.Target)
	if err != nil {
		return plainAnswer(http1.StatusBadRequest, "the target cannot be read")
	}
	var resource *Resource
	switch target.Path {
	case EndpointsPath:
		resource = s.Endpoints
	case SettingsPath:
		resource = s.Settings
	case StatusPath:
		return s.statusAnswer()
	default:
		return plainAnswer(http1.StatusNotFound, "there is no such resource")
	}
	if request.Method != "GET" {
		return plainAnswer(http1.StatusMethodNotAllowed, "resources are read with GET")
	}
	from, maxWait, err := parseCall(target.Query())
	if err != nil {
		return plainAnswer(http1.StatusBadRequest, err.Error())
	}
	defer s.readers.Add(-1)
	if s.readers.Add(1) > s.maxReaders {
		s.rejectedReaders.Add(1)
		return unavailableAnswer(emptyRetryAfter)
	}
	return answer(resource.Read(s.watches, clientLeft, from, maxWait))
}

// statusAnswer returns the server's status as JSON.
func (s *Server) statusAnswer() *http1.Message {
	body, err := json.Marshal(s.Status())
	if err != nil {
		return plainAnswer(http1.StatusInternalServerError, err.Error())
	}
	return jsonAnswer(append(body, '\n'))
}
