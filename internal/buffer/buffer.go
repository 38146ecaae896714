// Package buffer holds the read buffer of a connection.
package buffer

import "io"

const (
	// initialSize is the size of a new buffer in bytes: most messages fit in one read.
	initialSize = 4 << 10
	// maxIdleSize is the size in bytes up to which an empty buffer is kept for the next message.
	maxIdleSize = 64 << 10
)

// Buffer holds the bytes that a connection has brought and that have not been consumed. It grows as needed. The zero
// value is ready for use. It is for one goroutine at a time.
type Buffer struct {
	data       []byte // all of the memory
	start, end int    // data[start:end] is not consumed
}

// Bytes returns what is not consumed. It is valid until the next call of Consume or Fill.
func (b *Buffer) Bytes() []byte { return b.data[b.start:b.end] }

// Len returns the number of bytes that are not consumed.
func (b *Buffer) Len() int { return b.end - b.start }

// Consume drops the first n bytes; n is at most Len. An empty buffer gives a large memory back, so that one large
// message does not take its memory for the connection's life.
func (b *Buffer) Consume(n int) {
	b.start += n
	if b.start != b.end {
		return
	}
	b.start, b.end = 0, 0
	if len(b.data) > maxIdleSize {
		b.data = nil
	}
}

// Fill reads once from r and returns what that read returned. Memory grows only where no more can be read otherwise,
// so it is in proportion to what has arrived, not to a length that a message claims.
func (b *Buffer) Fill(r io.Reader) (n int, err error) {
	if b.end == len(b.data) {
		b.makeSpace()
	}
	n, err = r.Read(b.data[b.end:])
	b.end += n
	return n, err
}

// makeSpace moves what is not consumed to the front, or doubles a buffer that is full with it.
func (b *Buffer) makeSpace() {
	if b.start > 0 {
		b.end = copy(b.data, b.data[b.start:b.end])
		b.start = 0
		return
	}
	grown := make([]byte, max(initialSize, 2*len(b.data)))
	copy(grown, b.data[:b.end])
	b.data = grown
}
