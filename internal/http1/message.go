package http1

import (
	"fmt"
	"net"
	"net/textproto"
	"time"

	"harepass/internal/socket"
)

// Limits bound what a peer may send, in bytes.
type Limits struct {
	// Head bounds the start line with the header fields, and the trailer of a body in chunks.
	Head int
	// Body bounds the body.
	Body int
}

// DefaultLimits are those of the platform's protocol.
var DefaultLimits = Limits{Head: 16 << 10, Body: 64 << 10}

// Message is a request or an answer.
type Message struct {
	// Method is a request's method; empty for an answer.
	Method string
	// Target is a request's target; empty for an answer.
	Target string
	// Status is an answer's status code; 0 for a request.
	Status int
	// Header are the header fields, by their canonical names.
	Header textproto.MIMEHeader
	// Body is the complete body.
	Body []byte
	// Close says that the connection ends after this message.
	Close bool

	client   net.Conn  // the connection that a request came on; nil for other messages
	readAt   time.Time // when a request was read completely; zero for other messages
	omitBody bool      // it answers a HEAD: the length is told, the body left out
}

// QueuedFor returns the time since a request was read completely; 0 for other messages. A pipelined request waits for
// the answers before its own.
func (m *Message) QueuedFor() time.Duration {
	if m.readAt.IsZero() {
		return 0
	}
	return time.Since(m.readAt)
}

// ClientLeft asks the system whether the client that sent a request has closed its side since. It does not wait for the
// goroutine that reads the connection, which may not have been scheduled yet.
func (m *Message) ClientLeft() bool { return m.client != nil && socket.PeerClosed(m.client) }

// Append appends a request or an answer to b, and returns it. All but a GET request state their length, also where it
// is 0; the Body of a GET has to be empty. Header fields come in no fixed order.
func (m *Message) Append(b []byte) []byte {
	if m.Method != "" {
		b = fmt.Appendf(b, "%s %s HTTP/1.1\r\n", m.Method, m.Target)
	} else {
		b = fmt.Appendf(b, "HTTP/1.1 %d %s\r\n", m.Status, reasons[m.Status])
	}
	for name, values := range m.Header {
		for _, value := range values {
			b = fmt.Appendf(b, "%s: %s\r\n", name, value)
		}
	}
	if m.Close {
		b = append(b, "Connection: close\r\n"...)
	}
	if m.Method != "GET" {
		b = fmt.Appendf(b, "Content-Length: %d\r\n", len(m.Body))
	}
	b = append(b, "\r\n"...)
	if m.omitBody {
		return b
	}
	return append(b, m.Body...)
}

// Error is a fault in what a peer sent.
type Error struct {
	Status int    // the status code that answers it
	Text   string // what is wrong
}

// Error returns the text after the package's name.
func (e *Error) Error() string { return "http1: " + e.Text }

// malformed returns an Error for a message that cannot be read.
func malformed(format string, args ...any) error {
	return &Error{StatusBadRequest, fmt.Sprintf(format, args...)}
}
