package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/textproto"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"harepass/internal/decide/versionlog"
	"harepass/internal/distribution"
	"harepass/internal/http1"
)

// The paths that a Server answers.
const (
	EndpointsPath = "/registry/instances"
	SettingsPath  = "/registry/settings"
	StatusPath    = "/relay/status"
)

const (
	// maxHold bounds how long a watch may be held, as discovery does.
	maxHold = time.Minute
	// maxRequestHead and maxRequestBody bound what a reader sends, in bytes.
	maxRequestHead = 4 << 10
	maxRequestBody = 1 << 10
	// spareConns are for connections that are refused with an answer, and for the status.
	spareConns = 16
)

// Server answers readers. Use NewServer.
type Server struct {
	Endpoints *Resource
	Settings  *Resource

	maxReaders int64
	readers    atomic.Int64 // with a call open
	bytesIn    atomic.Int64 // on all connections
	bytesOut   atomic.Int64
	refused    atomic.Int64 // calls over the limit of readers
	began      time.Time
	server     *http1.Server
	ctx        context.Context // ends with Shutdown: watches are answered then
	end        context.CancelFunc
}

// NewServer returns a server for at most so many open calls.
func NewServer(instances, settings *Resource, maxReaders int) *Server {
	ctx, end := context.WithCancel(context.Background())
	s := &Server{Endpoints: instances, Settings: settings, maxReaders: int64(maxReaders), began: time.Now(), ctx: ctx, end: end}
	s.server = &http1.Server{Handler: s.handle, MaxConns: maxReaders + spareConns,
		Limits: http1.Limits{Head: maxRequestHead, Body: maxRequestBody}}
	return s
}

// Serve accepts readers until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	return s.server.Serve(countingListener{listener, s})
}

// Shutdown answers what is open and closes all connections. The listener has to be closed before.
func (s *Server) Shutdown() {
	s.server.Drain()
	s.end()
	s.server.Shutdown()
}

// handle answers a call.
func (s *Server) handle(request *http1.Message, gone <-chan struct{}) *http1.Message {
	target, err := url.ParseRequestURI(request.Target)
	if err != nil {
		return plain(400, "the target cannot be read")
	}
	var resource *Resource
	switch target.Path {
	case EndpointsPath:
		resource = s.Endpoints
	case SettingsPath:
		resource = s.Settings
	case StatusPath:
		return s.status()
	default:
		return plain(404, "there is no such resource")
	}
	if request.Method != "GET" {
		return plain(405, "resources are read with GET")
	}
	from, hold, err := parseCall(target.Query())
	if err != nil {
		return plain(400, err.Error())
	}
	defer s.readers.Add(-1)
	if s.readers.Add(1) > s.maxReaders {
		s.refused.Add(1)
		return unavailable(emptyRetry)
	}
	return message(resource.Read(s.ctx, gone, from, hold))
}

// parseCall reads the reader's position and how long it waits for news.
func parseCall(query url.Values) (from versionlog.Cursor, hold time.Duration, err error) {
	var milliseconds int64
	for _, field := range []struct {
		name  string
		value *int64
	}{{"epoch", &from.Epoch}, {"from", &from.Index}, {"base", &from.Base}, {"head", &from.Head}, {"hold_ms", &milliseconds}} {
		text := query.Get(field.name)
		if text == "" {
			continue
		}
		if *field.value, err = strconv.ParseInt(text, 10, 64); err != nil || *field.value < 0 {
			return from, 0, fmt.Errorf("%s=%.40q is no number of at least 0", field.name, text)
		}
	}
	return from, time.Duration(min(milliseconds, maxHold.Milliseconds())) * time.Millisecond, nil
}

// message words a reply.
func message(reply Reply) *http1.Message {
	switch reply.Rejection {
	case Empty, Busy:
		return unavailable(reply.RetryAfter)
	case Behind:
		return plain(409, "this source is behind the reader")
	}
	header := textproto.MIMEHeader{"Content-Type": {"application/json"}, "Age": {strconv.Itoa(int(reply.Staleness / time.Second))},
		distribution.AgeMillisecondsHeader: {strconv.FormatInt(reply.Staleness.Milliseconds(), 10)}}
	return &http1.Message{Status: 200, Header: header, Body: reply.Body}
}

func unavailable(retryAfter time.Duration) *http1.Message {
	m := plain(503, "not now")
	m.Header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	return m
}

func plain(status int, text string) *http1.Message {
	return &http1.Message{Status: status, Header: textproto.MIMEHeader{"Content-Type": {"text/plain"}}, Body: []byte(text + "\n")}
}

// status answers the call for the server's status.
func (s *Server) status() *http1.Message {
	body, err := json.Marshal(s.Status())
	if err != nil {
		return plain(500, err.Error())
	}
	return &http1.Message{Status: 200, Header: textproto.MIMEHeader{"Content-Type": {"application/json"}}, Body: append(body, '\n')}
}

// countingListener counts the bytes of all its connections.
type countingListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		return countingConn{tcp, l.server}, nil
	}
	return conn, nil
}

type countingConn struct {
	*net.TCPConn
	server *Server
}

// Read implements net.Conn.
func (c countingConn) Read(data []byte) (int, error) {
	n, err := c.TCPConn.Read(data)
	c.server.bytesIn.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(data []byte) (int, error) {
	n, err := c.TCPConn.Write(data)
	c.server.bytesOut.Add(int64(n))
	return n, err
}
