// Package buffer provides the read buffer of a connection.
package buffer

import "io"

const (
	// initialSize is the initial size of a buffer in bytes. Most messages fit into one read of that size.
	initialSize = 4 << 10
	// maxIdleSize is the size in bytes up to which an empty buffer keeps its memory for the next message. There may be
	// hundreds of connections whose last message was large.
	maxIdleSize = initialSize
	// maxGrowth is the number of bytes by which a buffer grows at most, so that a message of the largest size does not
	// take twice that on each of hundreds of connections.
	maxGrowth = 16 << 10
)

// Buffer holds the bytes that were read from a connection and have not been consumed. It grows as needed. The zero
// value is ready for use. It must not be used by several goroutines at once.
type Buffer struct {
	data       []byte // the allocated memory
	start, end int    // data[start:end] is the unconsumed part
}

// Bytes returns the unconsumed bytes. The slice is valid until the next call of Consume or Fill.
func (b *Buffer) Bytes() []byte { return b.data[b.start:b.end] }

// Len returns the number of unconsumed bytes.
func (b *Buffer) Len() int { return b.end - b.start }

// Cap returns the memory in bytes that the buffer takes.
func (b *Buffer) Cap() int { return len(b.data) }

// Consume drops the first n unconsumed bytes; n must be at most Len. A buffer that becomes empty releases its memory if
// that is larger than maxIdleSize, so that one large message does not occupy memory for the connection's lifetime.
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

// Fill reads once from r and returns the result of that read. The buffer grows only if it is full of unconsumed bytes,
// so its size is in proportion to the data that has arrived, not to the length that a message claims to have.
func (b *Buffer) Fill(r io.Reader) (n int, err error) {
	if b.end == len(b.data) {
		b.makeSpace()
	}
	n, err = r.Read(b.data[b.end:])
	b.end += n
	return n, err
}

// makeSpace moves the unconsumed bytes to the front or, if they fill the whole buffer, makes it larger.
func (b *Buffer) makeSpace() {
	if b.start > 0 {
		b.end = copy(b.data, b.data[b.start:b.end])
		b.start = 0
		return
	}
	grown := make([]byte, len(b.data)+min(max(initialSize, len(b.data)), maxGrowth))
	copy(grown, b.data[:b.end])
	b.data = grown
}
