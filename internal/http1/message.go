// Package http1 speaks HTTP/1.1 on plain connections: requests and answers with a length or in
// chunks, keep-alive, and limits on all of it. The header syntax is net/textproto's.
package http1

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"harepass/internal/buffer"
	"harepass/internal/socket"
)

// Limits bound what a peer may send.
type Limits struct {
	Head int // bytes of start line and headers, and of a trailer
	Body int
}

// DefaultLimits are those of the platform's protocol.
var DefaultLimits = Limits{Head: 16 << 10, Body: 64 << 10}

// Message is a request or an answer.
type Message struct {
	Method, Target string // of a request
	Status         int    // of an answer
	Header         textproto.MIMEHeader
	Body           []byte
	Close          bool // the connection ends after this message

	left net.Conn  // that a request came on; nil for other messages
	came time.Time // when a request was read whole; zero for other messages
	head bool      // the answer to a HEAD: its length is told, its body left out
}

// Waited is how long ago a request was read whole: what is pipelined waits for the answers before its own.
func (m *Message) Waited() time.Duration {
	if m.came.IsZero() {
		return 0
	}
	return time.Since(m.came)
}

// ClientLeft asks the system whether the client that sent a request has closed its side since. It does not wait for the
// goroutine that reads the connection, which may not have had its turn.
func (m *Message) ClientLeft() bool { return m.left != nil && socket.PeerClosed(m.left) }

// Error is a fault in what the peer sent, with the status that says so.
type Error struct {
	Status int
	Text   string
}

func (e *Error) Error() string { return "http1: " + e.Text }

func malformed(format string, args ...any) error {
	return &Error{400, fmt.Sprintf(format, args...)}
}

// state is how far a Reader is into a message.
type state int

const (
	inHead    state = iota // start line and headers
	inBody                 // a body of known length
	inSize                 // the line before a chunk
	inChunk                // a chunk and its line end
	inTrailer              // the lines after the last chunk
	untilEnd               // a body that ends with the connection
)

// Reader takes messages off one connection. It is a state machine: Parse goes as far as the bytes
// at hand allow, in whatever pieces they come.
type Reader struct {
	Buffer  buffer.Buffer
	limits  Limits
	answers bool // reads answers rather than requests
	state   state
	msg     *Message
	seen    int // bytes already searched for the end of what is being read
	left    int // of the body or chunk
	trailer int
}

// NewRequestReader reads requests.
func NewRequestReader(l Limits) *Reader { return &Reader{limits: l} }

// NewAnswerReader reads answers.
func NewAnswerReader(l Limits) *Reader { return &Reader{limits: l, answers: true} }

// Idle tells that no part of a message has come in.
func (r *Reader) Idle() bool { return r.state == inHead && r.Buffer.Len() == 0 }

// Read returns the next message from c. At the clean end of the connection the error is io.EOF.
func (r *Reader) Read(c io.Reader) (*Message, error) {
	for {
		if m, err := r.Parse(); m != nil || err != nil {
			return m, err
		}
		if _, err := r.Buffer.Fill(c); err != nil {
			return r.ended(err)
		}
	}
}

// ended completes a body that lasts until the connection's end.
func (r *Reader) ended(err error) (*Message, error) {
	if err == io.EOF && r.state == untilEnd {
		m := r.msg
		r.state, r.msg = inHead, nil
		return m, nil
	}
	if err == io.EOF && !r.Idle() {
		err = io.ErrUnexpectedEOF
	}
	return nil, err
}

// Parse returns the next message if all of it is in the buffer, else nil.
func (r *Reader) Parse() (*Message, error) {
	for {
		var more bool
		var err error
		switch r.state {
		case inHead:
			more, err = r.head()
		case inBody:
			more, err = r.take(inHead)
		case inSize:
			more, err = r.chunkSize()
		case inChunk:
			more, err = r.chunk()
		case inTrailer:
			more, err = r.endChunks()
		case untilEnd:
			more, err = r.rest()
		}
		if err != nil || more {
			return nil, err
		}
		if r.state == inHead {
			m := r.msg
			r.msg = nil
			return m, nil
		}
	}
}

// line returns the next line without its CRLF and consumes it; ok is false while it is not all there.
func (r *Reader) line() (text string, ok bool, err error) {
	b := r.Buffer.Bytes()
	i, err := r.newline(b, r.limits.Head)
	if i < 0 || err != nil {
		return "", false, err
	}
	text = string(b[:i-1])
	r.Buffer.Consume(i + 1)
	r.seen = 0
	return text, true, nil
}

// newline finds the next line end, which has to come within limit bytes however the bytes come in.
func (r *Reader) newline(b []byte, limit int) (int, error) {
	window := b[:min(len(b), limit)]
	i := bytes.IndexByte(window[r.seen:], '\n')
	switch i += r.seen; {
	case i < r.seen && len(b) > limit:
		return -1, &Error{431, "header too large"}
	case i < r.seen:
		r.seen = len(window)
		return -1, nil
	case i == 0 || b[i-1] != '\r':
		return -1, malformed("line ends without CR")
	}
	return i, nil
}

// head reads start line and headers once all are there.
func (r *Reader) head() (more bool, err error) {
	b := r.Buffer.Bytes()
	for r.seen <= 1 && bytes.HasPrefix(b, []byte("\r\n")) { // empty lines before a request are let pass
		r.Buffer.Consume(2)
		b, r.seen = r.Buffer.Bytes(), 0
	}
	end := 0
	for end == 0 {
		at, err := r.newline(b, r.limits.Head)
		if at < 0 || err != nil {
			return true, err
		}
		if at >= 3 && b[at-2] == '\n' {
			end = at + 1
		}
		r.seen = at + 1
	}
	head := b[:end]
	start, fields, _ := bytes.Cut(head, []byte("\r\n"))
	m := &Message{}
	if err := m.startLine(string(start), r.answers); err != nil {
		return false, err
	}
	if m.Header, err = parseFields(fields); err != nil {
		return false, err
	}
	r.Buffer.Consume(end)
	r.seen, r.msg = 0, m
	return false, r.framing(bytes.Contains(start, []byte("HTTP/1.0")))
}

func (m *Message) startLine(line string, answer bool) error {
	words := strings.SplitN(line, " ", 3)
	version := words[0]
	if !answer {
		version = words[len(words)-1]
	}
	if len(words) < 3 && !(answer && len(words) == 2) || version != "HTTP/1.1" && version != "HTTP/1.0" {
		if len(words) == 3 && strings.HasPrefix(version, "HTTP/") && version != "HTTP/1.1" {
			return &Error{505, "version not supported"}
		}
		return malformed("bad start line")
	}
	if answer {
		n, err := strconv.Atoi(words[1])
		if err != nil || len(words[1]) != 3 || n < 100 {
			return malformed("bad status %q", words[1])
		}
		m.Status = n
		return nil
	}
	m.Method, m.Target = words[0], words[1]
	if m.Method == "" || strings.ContainsFunc(m.Method, func(c rune) bool { return c < 'A' || c > 'Z' }) {
		return malformed("bad method")
	}
	if m.Target == "" || strings.ContainsFunc(m.Target, func(c rune) bool { return c <= ' ' || c == 0x7f }) {
		return malformed("bad target")
	}
	return nil
}

// parseFields reads headers by net/textproto, which takes folded lines; those are refused here.
func parseFields(fields []byte) (textproto.MIMEHeader, error) {
	for line := range bytes.Lines(fields) {
		if line[0] == ' ' || line[0] == '\t' {
			return nil, malformed("folded header")
		}
	}
	h, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(fields))).ReadMIMEHeader()
	if err != nil {
		return nil, malformed("bad header")
	}
	return h, nil
}

// framing finds out how the body ends. Whatever two readers could take differently is refused.
func (r *Reader) framing(old bool) error {
	m := r.msg
	lengths, coding := m.Header["Content-Length"], m.Header["Transfer-Encoding"]
	m.Close = old && !hasToken(m.Header["Connection"], "keep-alive") || hasToken(m.Header["Connection"], "close")
	switch {
	case r.answers && (m.Status < 200 || m.Status == 204 || m.Status == 304):
		r.left, r.state = 0, inBody
	case len(coding) > 0:
		if len(lengths) > 0 {
			return malformed("both a length and a transfer coding")
		}
		if len(coding) != 1 || !strings.EqualFold(coding[0], "chunked") || old {
			return &Error{501, "transfer coding not supported"}
		}
		r.state = inSize
	case len(lengths) > 0:
		n, err := strconv.ParseUint(lengths[0], 10, 31)
		if err != nil || strings.HasPrefix(lengths[0], "+") {
			return malformed("bad length")
		}
		if slices.ContainsFunc(lengths, func(s string) bool { return s != lengths[0] }) {
			return malformed("conflicting lengths")
		}
		if int(n) > r.limits.Body {
			return &Error{413, "body too large"}
		}
		r.left, r.state = int(n), inBody
	case r.answers:
		m.Close, r.state = true, untilEnd
	default:
		r.left, r.state = 0, inBody
	}
	return nil
}

// take moves what is at hand of a body or chunk into the message.
func (r *Reader) take(next state) (more bool, err error) {
	n := min(r.left, r.Buffer.Len())
	r.msg.Body = append(r.msg.Body, r.Buffer.Bytes()[:n]...)
	r.Buffer.Consume(n)
	if r.left -= n; r.left > 0 {
		return true, nil
	}
	r.state = next
	return false, nil
}

func (r *Reader) chunkSize() (more bool, err error) {
	line, ok, err := r.line()
	if !ok {
		return true, err
	}
	size, _, _ := strings.Cut(line, ";")
	n, err := strconv.ParseUint(strings.TrimRight(size, " \t"), 16, 31)
	if err != nil || strings.HasPrefix(size, "+") {
		return false, malformed("bad chunk size")
	}
	if len(r.msg.Body)+int(n) > r.limits.Body {
		return false, &Error{413, "body too large"}
	}
	if r.left, r.state = int(n), inChunk; n == 0 {
		r.trailer, r.state = 0, inTrailer
	}
	return false, nil
}

func (r *Reader) chunk() (more bool, err error) {
	if r.left > 0 {
		return r.take(inChunk)
	}
	b := r.Buffer.Bytes()
	if !bytes.HasPrefix([]byte("\r\n"), b[:min(2, len(b))]) {
		return false, malformed("chunk longer than its size")
	}
	if len(b) < 2 {
		return true, nil
	}
	r.Buffer.Consume(2)
	r.state = inSize
	return false, nil
}

func (r *Reader) endChunks() (more bool, err error) {
	line, ok, err := r.line()
	if !ok {
		return true, err
	}
	if r.trailer += len(line); r.trailer > r.limits.Head {
		return false, &Error{431, "trailer too large"}
	}
	if line == "" {
		r.state = inHead
	}
	return false, nil
}

func (r *Reader) rest() (more bool, err error) {
	if len(r.msg.Body)+r.Buffer.Len() > r.limits.Body {
		return false, &Error{413, "body too large"}
	}
	r.msg.Body = append(r.msg.Body, r.Buffer.Bytes()...)
	r.Buffer.Consume(r.Buffer.Len())
	return true, nil
}

func hasToken(values []string, token string) bool {
	for _, v := range values {
		for t := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(t), token) {
				return true
			}
		}
	}
	return false
}

// Append writes a request or an answer with its length, for one write.
func (m *Message) Append(b []byte) []byte {
	if m.Method != "" {
		b = fmt.Appendf(b, "%s %s HTTP/1.1\r\n", m.Method, m.Target)
	} else {
		b = fmt.Appendf(b, "HTTP/1.1 %d %s\r\n", m.Status, reasons[m.Status])
	}
	for k, vs := range m.Header {
		for _, v := range vs {
			b = fmt.Appendf(b, "%s: %s\r\n", k, v)
		}
	}
	if m.Close {
		b = append(b, "Connection: close\r\n"...)
	}
	if m.Method != "GET" {
		b = fmt.Appendf(b, "Content-Length: %d\r\n", len(m.Body))
	}
	b = append(b, "\r\n"...)
	if m.head {
		return b
	}
	return append(b, m.Body...)
}

var reasons = map[int]string{200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found",
	403: "Forbidden",
	405: "Method Not Allowed", 408: "Request Timeout", 409: "Conflict", 413: "Content Too Large", 429: "Too Many Requests",
	431: "Request Header Fields Too Large", 500: "Internal Server Error", 501: "Not Implemented",
	502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout", 505: "HTTP Version Not Supported"}
