package http1

import (
	"fmt"
	"net"
	"net/textproto"
	"time"

	"harepass/internal/socket"
)

// Limits bound the messages that a peer may send, and what is kept of them. Sizes are in bytes.
type Limits struct {
	// Head bounds the start line and header fields together, and separately the trailer of a body in chunks.
	Head int
	// Body bounds the body.
	Body int
	// Fields are the canonical names of the header fields that are kept, besides those of the framing. Others are
	// checked and dropped. Nil keeps all, which is for peers that are trusted: a map of very many short fields takes
	// many times their size.
	Fields []string
}

// request returns the size in bytes of the largest request.
func (l Limits) request() int { return l.Head + l.Body }

// NoFields is the value of Limits.Fields for peers whose header fields only frame their messages.
var NoFields = []string{}

// DefaultLimits are the limits of the platform's protocol.
var DefaultLimits = Limits{Head: 16 << 10, Body: 64 << 10}

// Message is a request or an answer.
type Message struct {
	// Method is the method of a request; empty for an answer.
	Method string
	// Target is the target of a request; empty for an answer.
	Target string
	// Status is the status code of an answer; 0 for a request.
	Status int
	// Header holds the header fields by canonical name. Of a received message, it holds those that Limits keeps.
	Header textproto.MIMEHeader
	// Body is the complete body.
	Body []byte
	// Close reports that the sender ends the connection after this message.
	Close bool

	client   net.Conn  // the connection on which the server read this request; nil for other messages
	readAt   time.Time // when the server had read this request completely; zero for other messages
	omitBody bool      // the message answers a HEAD request: it states the body's length without the body
}

// fieldValueOverhead is the memory in bytes that a value of a header field takes besides its text.
const fieldValueOverhead = 16

// size returns the memory in bytes that the message's target, header fields and body take. A field without text takes
// memory too, and a head can have very many of them.
func (m *Message) size() int {
	size := len(m.Target) + len(m.Body)
	for _, values := range m.Header {
		for _, value := range values {
			size += fieldValueOverhead + len(value)
		}
	}
	return size
}

// QueuedFor returns the time since the server read this request completely; 0 for other messages. A pipelined request
// waits until the requests before it are answered.
func (m *Message) QueuedFor() time.Duration {
	if m.readAt.IsZero() {
		return 0
	}
	return time.Since(m.readAt)
}

// ClientLeft reports whether the client that sent this request has closed its side of the connection since. It asks the
// kernel, because the goroutine that reads the connection may not have been scheduled yet.
func (m *Message) ClientLeft() bool { return m.client != nil && socket.PeerClosed(m.client) }

// Append appends the encoded message to b and returns the extended slice. Every message except a GET request states its
// length, even a length of 0; the Body of a GET request must be empty. The order of the header fields is not fixed.
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

// Error is a fault in a message that a peer sent.
type Error struct {
	Status int    // the status code of the answer to the message
	Text   string // what is wrong with the message
}

// Error returns Text with the package name as prefix.
func (e *Error) Error() string { return "http1: " + e.Text }

// malformed returns an *Error with status 400 for a message that does not follow the syntax.
func malformed(format string, args ...any) error {
	return &Error{StatusBadRequest, fmt.Sprintf(format, args...)}
}
