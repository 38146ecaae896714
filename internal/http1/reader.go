package http1

import (
	"bytes"
	"io"

	"harepass/internal/buffer"
)

// readerState is the part of a message that a Reader parses next.
type readerState int

const (
	inHead    readerState = iota // start line and header fields
	inBody                       // a body of known length
	inSize                       // the line with a chunk's size
	inChunk                      // a chunk and the line end after it
	inTrailer                    // the lines after the last chunk
	untilEnd                     // a body that ends with the connection
)

// crlf ends every line.
const crlf = "\r\n"

// Reader reads the messages of one connection. It is a state machine: Parse advances as far as the received bytes
// allow, however they are split across reads. A Reader must not be used after it has returned an error.
type Reader struct {
	// Buffer holds the received bytes that are not parsed yet.
	Buffer buffer.Buffer

	limits          Limits
	readsAnswers    bool // the messages are answers; false for requests
	state           readerState
	msg             *Message // the message being parsed; nil until its head is complete
	emptyLineBytes  int      // size of the empty lines before the message
	bytesSearched   int      // how many bytes at the start of Buffer were already searched for line ends
	chunkLineExcess int      // size of the message's chunk lines beyond their sizes
	remaining       int      // bytes of the body or chunk that have not been received
	trailerBytes    int      // size of the trailer lines parsed so far, without their line ends
}

// NewRequestReader returns a Reader of requests.
func NewRequestReader(l Limits) *Reader { return &Reader{limits: l} }

// NewAnswerReader returns a Reader of answers.
func NewAnswerReader(l Limits) *Reader { return &Reader{limits: l, readsAnswers: true} }

// Idle reports whether no byte of the next message has been received.
func (r *Reader) Idle() bool { return r.state == inHead && r.Buffer.Len() == 0 }

// memory returns the memory in bytes that the received part of a message takes, with the copies that will be made of
// what is parsed of it.
func (r *Reader) memory() int {
	if r.msg == nil {
		return r.Buffer.Cap()
	}
	return r.Buffer.Cap() + requestCopies*(r.msg.size()-len(r.msg.Body)+cap(r.msg.Body))
}

// Read returns the next message from c. The error is an *Error for an invalid message, io.EOF if the connection ends
// between two messages, io.ErrUnexpectedEOF if it ends within one, or else the error that c returned.
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

// finishAtEnd returns the result of Read after c returned err. If the connection has ended, a message whose body lasts
// until the end of the connection is complete, and any other message in progress is truncated.
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

// Parse returns the next message, or nil while the buffer does not hold all of it. The error is an *Error.
func (r *Reader) Parse() (*Message, error) {
	for {
		var incomplete bool // the state needs bytes that have not been received
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

// takeLine consumes the next line and returns it without its line end; ok is false while the line is incomplete.
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

// findLineEnd returns the index in b of the next line's LF, or -1 while it has not been received. The LF must be among
// the first limit bytes of b; the result does not depend on how the bytes are split across reads.
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
