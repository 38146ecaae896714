package http1

import (
	"bytes"
	"io"

	"harepass/internal/buffer"
)

// readerState is how far a Reader is into a message.
type readerState int

const (
	inHead    readerState = iota // start line and header fields
	inBody                       // a body of known length
	inSize                       // the line before a chunk
	inChunk                      // a chunk and its line end
	inTrailer                    // the lines after the last chunk
	untilEnd                     // a body that ends with the connection
)

// crlf ends every line.
const crlf = "\r\n"

// Reader reads the messages of one connection. It is a state machine: Parse goes as far as the bytes at hand allow, in
// whatever pieces they come. After an error it is not to be used.
type Reader struct {
	// Buffer holds the bytes that have come and are not parsed yet.
	Buffer buffer.Buffer

	limits        Limits
	readsAnswers  bool // it reads answers rather than requests
	state         readerState
	msg           *Message // the message under way; nil until its head is complete
	bytesSearched int      // first bytes of Buffer that were searched, and hold no line end
	remaining     int      // bytes of the body or chunk that have not come
	trailerBytes  int      // size of the trailer's lines so far
}

// NewRequestReader returns a Reader of requests.
func NewRequestReader(l Limits) *Reader { return &Reader{limits: l} }

// NewAnswerReader returns a Reader of answers.
func NewAnswerReader(l Limits) *Reader { return &Reader{limits: l, readsAnswers: true} }

// Idle reports that no part of a message has come.
func (r *Reader) Idle() bool { return r.state == inHead && r.Buffer.Len() == 0 }

// Read returns the next message from c. The error is an *Error for what cannot be read, io.EOF at the end of the
// connection between two messages, io.ErrUnexpectedEOF at its end within one, or c's.
func (r *Reader) Read(c io.Reader) (*Message, error) {
	for {
		if m, err := r.Parse(); m != nil || err != nil {
			return m, err
		}
		if _, err := r.Buffer.Fill(c); err != nil {
			return r.finishAtEnd(err)
		}
	}
}

// finishAtEnd returns what the connection's end makes of the message under way: a body that lasts until there is
// complete, any other message is cut off.
func (r *Reader) finishAtEnd(err error) (*Message, error) {
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

// Parse returns the next message if all of it is in the buffer, and else nil. The error is an *Error.
func (r *Reader) Parse() (*Message, error) {
	for {
		var incomplete bool // the state needs bytes that have not come
		var err error
		switch r.state {
		case inHead:
			incomplete, err = r.parseHead()
		case inBody:
			incomplete, err = r.takeBody(inHead)
		case inSize:
			incomplete, err = r.parseChunkSize()
		case inChunk:
			incomplete, err = r.parseChunk()
		case inTrailer:
			incomplete, err = r.parseTrailer()
		case untilEnd:
			incomplete, err = r.takeUntilEnd()
		}
		if err != nil || incomplete {
			return nil, err
		}
		if r.state == inHead {
			m := r.msg
			r.msg = nil
			return m, nil
		}
	}
}

// takeLine returns the next line without its line end and consumes it; ok is false while it is incomplete.
func (r *Reader) takeLine() (text string, ok bool, err error) {
	b := r.Buffer.Bytes()
	i, err := r.findLineEnd(b, r.limits.Head)
	if i < 0 || err != nil {
		return "", false, err
	}
	text = string(b[:i-1])
	r.Buffer.Consume(i + 1)
	r.bytesSearched = 0
	return text, true, nil
}

// findLineEnd returns where the next line end is in b; -1 while it has not come. It has to come within limit bytes,
// however the bytes come in.
func (r *Reader) findLineEnd(b []byte, limit int) (int, error) {
	window := b[:min(len(b), limit)]
	i := bytes.IndexByte(window[r.bytesSearched:], '\n')
	switch i += r.bytesSearched; {
	case i < r.bytesSearched && len(b) > limit:
		return -1, &Error{StatusHeaderFieldsTooLarge, "header too large"}
	case i < r.bytesSearched:
		r.bytesSearched = len(window)
		return -1, nil
	case i == 0 || b[i-1] != '\r':
		return -1, malformed("line ends without CR")
	}
	return i, nil
}
