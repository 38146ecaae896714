package http1

import (
	"bytes"
	"strconv"
	"strings"
)

// maxChunkSizeDigits is the number of hexadecimal digits that the size of a chunk can need. What a chunk's line has
// beyond them counts towards Limits.Head.
const maxChunkSizeDigits = 8

// takeBody moves the received bytes of the body or chunk from the buffer into the message, and changes to the state
// next when the body or chunk is complete; incomplete is true until then.
func (r *Reader) takeBody(next readerState) (incomplete bool, err error) {
	n := min(r.remaining, r.Buffer.Len())
	r.msg.Body = append(r.msg.Body, r.Buffer.Bytes()[:n]...)
	r.Buffer.Consume(n)
	if r.remaining -= n; r.remaining > 0 {
		return true, nil
	}
	r.state = next
	return false, nil
}

// parseChunkSize parses the line with a chunk's size. A size of 0 marks the last chunk.
func (r *Reader) parseChunkSize() (incomplete bool, err error) {
	line, ok, err := r.takeLine()
	if !ok {
		return true, err
	}
	if r.chunkLineExcess += max(0, len(line)-maxChunkSizeDigits); r.chunkLineExcess > r.limits.Head {
		return false, malformed("chunk extensions too large")
	}
	size, _, _ := strings.Cut(line, ";")
	n, err := strconv.ParseUint(strings.TrimRight(size, " \t"), 16, 31)
	if err != nil || strings.HasPrefix(size, "+") {
		return false, malformed("bad chunk size")
	}
	if len(r.msg.Body)+int(n) > r.limits.Body {
		return false, &Error{StatusContentTooLarge, "body too large"}
	}
	if r.remaining, r.state = int(n), inChunk; n == 0 {
		r.trailerBytes, r.state = 0, inTrailer
	}
	return false, nil
}

// parseChunk moves a chunk into the message, and checks and consumes the line end after it.
func (r *Reader) parseChunk() (incomplete bool, err error) {
	if r.remaining > 0 {
		return r.takeBody(inChunk)
	}
	b := r.Buffer.Bytes()
	if !bytes.HasPrefix([]byte(crlf), b[:min(len(crlf), len(b))]) {
		return false, malformed("chunk longer than its size")
	}
	if len(b) < len(crlf) {
		return true, nil
	}
	r.Buffer.Consume(len(crlf))
	r.state = inSize
	return false, nil
}

// parseTrailer skips the lines after the last chunk, up to and including an empty line.
func (r *Reader) parseTrailer() (incomplete bool, err error) {
	line, ok, err := r.takeLine()
	if !ok {
		return true, err
	}
	if r.trailerBytes += len(line); r.trailerBytes > r.limits.Head {
		return false, &Error{StatusHeaderFieldsTooLarge, "trailer too large"}
	}
	if line == "" {
		r.state = inHead
	}
	return false, nil
}

// takeUntilEnd moves the received bytes of a body that ends with the connection into the message.
func (r *Reader) takeUntilEnd() (incomplete bool, err error) {
	if len(r.msg.Body)+r.Buffer.Len() > r.limits.Body {
		return false, &Error{StatusContentTooLarge, "body too large"}
	}
	r.msg.Body = append(r.msg.Body, r.Buffer.Bytes()...)
	r.Buffer.Consume(r.Buffer.Len())
	return true, nil
}
