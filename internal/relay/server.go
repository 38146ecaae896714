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

// The paths that a Server answers.
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
	// extraConns is how many connections there may be beyond the limit of readers: for those that are rejected with an
	// answer, and for the status.
	extraConns = 16
)

// Server answers the readers of two resources. Use NewServer.
type Server struct {
	// Endpoints is the resource of EndpointsPath.
	Endpoints *Resource
	// Settings is the resource of SettingsPath.
	Settings *Resource

	maxReaders int64
	startedAt  time.Time
	server     *http1.Server
	watches    context.Context    // ends with Shutdown: the readers that wait are answered then
	endWatches context.CancelFunc // ends watches

	readers         atomic.Int64 // calls that are open now
	rejectedReaders atomic.Int64 // calls over the limit of readers
	bytesIn         atomic.Int64 // on all connections, headers included
	bytesOut        atomic.Int64 // on all connections, headers included
}

// NewServer returns a server for at most so many open calls.
func NewServer(endpoints, settings *Resource, maxReaders int) *Server {
	s := &Server{Endpoints: endpoints, Settings: settings, maxReaders: int64(maxReaders), startedAt: time.Now()}
	s.watches, s.endWatches = context.WithCancel(context.Background())
	s.server = &http1.Server{Handler: s.handle, MaxConns: maxReaders + extraConns,
		Limits: http1.Limits{Head: maxRequestHead, Body: maxRequestBody}}
	return s
}

// Serve accepts readers until the listener is closed, and returns nil or the error of closing it. It is called once.
func (s *Server) Serve(listener net.Listener) error {
	return s.server.Serve(countingListener{listener, s})
}

// Shutdown answers the open calls and closes all connections. The listener has to be closed before, and
// Serve to have returned: see http1.Server.Shutdown.
func (s *Server) Shutdown() {
	s.server.Drain()
	s.endWatches()
	s.server.Shutdown()
}

// handle answers a call. clientLeft is closed when the client leaves before its answer.
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
