// Package buffer holds the one read buffer of a connection.
package buffer

import "io"

const (
	least = 4 << 10 // room for most messages in one read
	keep  = 64 << 10
)

// Buffer collects what a connection has brought and has not used yet. It grows as needed and is
// compacted in place. The zero value is ready for use.
type Buffer struct {
	data       []byte
	start, end int
}

// Bytes is what has come in and is not consumed; it is valid until the next call of a method.
func (b *Buffer) Bytes() []byte { return b.data[b.start:b.end] }

// Len is the number of bytes not consumed.
func (b *Buffer) Len() int { return b.end - b.start }

// Consume drops the first n bytes.
func (b *Buffer) Consume(n int) {
	if b.start += n; b.start == b.end {
		b.start, b.end = 0, 0
		if len(b.data) > keep { // one large message does not hold its memory for the connection's life
			b.data = nil
		}
	}
}

// Fill reads once from r. A full buffer is compacted first and, where that frees nothing, doubled.
func (b *Buffer) Fill(r io.Reader) (int, error) {
	if b.end == len(b.data) {
		if b.start > 0 {
			b.end = copy(b.data, b.data[b.start:b.end])
			b.start = 0
		} else {
			grown := make([]byte, max(least, 2*len(b.data)))
			copy(grown, b.data[:b.end])
			b.data = grown
		}
	}
	n, err := r.Read(b.data[b.end:])
	b.end += n
	return n, err
}
