package faultinjection

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"time"
)

// maxPieceBytes is the most that a link reads and forwards at once where it does not separate messages.
const maxPieceBytes = 16 << 10

// serve accepts connections until the link is closed.
func (l *Link) serve() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.connect(client)
	}
}

// connect forwards one client's connection until either side ends it. While the direction to the server is cut, it does
// not connect to the server.
func (l *Link) connect(client net.Conn) {
	if !l.track(client) || !l.awaitPassage(ToServer, client, 0) {
		client.Close()
		return
	}
	server, err := net.Dial("tcp", l.target)
	if err != nil || !l.track(server) {
		client.Close()
		return
	}
	go l.copy(ToServer, client, server)
	l.copy(ToClient, server, client)
}

// track adds a connection to those that Reset and Close end. If the link is closed, it closes the connection and
// reports false.
func (l *Link) track(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		c.Close()
		return false
	}
	l.connections[c] = struct{}{}
	return true
}

// untrack closes both ends of a forwarded connection and removes them from those that Reset and Close end.
func (l *Link) untrack(from, to net.Conn) {
	l.mu.Lock()
	delete(l.connections, from)
	delete(l.connections, to)
	l.changed.Broadcast()
	l.mu.Unlock()
	from.Close()
	to.Close()
}

// awaitPassage waits until size bytes of a connection may pass in a direction: first for the link's delay and
// throttling, then until the direction is not cut. It reports false if the connection was reset or the link closed.
func (l *Link) awaitPassage(d Direction, c net.Conn, size int) bool {
	l.mu.Lock()
	wait := l.delay
	if l.bytesPerSecond > 0 {
		wait += time.Duration(size) * time.Second / time.Duration(l.bytesPerSecond)
	}
	l.mu.Unlock()
	time.Sleep(wait)
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		if _, open := l.connections[c]; !open || l.closed {
			return false
		}
		if !l.cut[d] {
			return true
		}
		l.changed.Wait()
	}
}

// copy forwards the bytes of one direction, in order except for messages that are reordered. When either side ends the
// connection, copy closes both ends.
func (l *Link) copy(d Direction, from, to net.Conn) {
	defer l.untrack(from, to)
	var delayed []byte // a message held back until the next one has been forwarded
	for next := l.pieces(d, from); ; {
		piece, err := next()
		if len(piece) > 0 {
			if !l.awaitPassage(d, from, len(piece)) {
				return
			}
			fault := l.drawMessageFault(d)
			switch {
			case fault == messageDropped:
				continue
			case fault == messageReordered && delayed == nil:
				delayed = bytes.Clone(piece)
				continue
			case fault == messageDuplicated:
				piece = append(bytes.Clone(piece), piece...)
			}
			if _, err := to.Write(append(bytes.Clone(piece), delayed...)); err != nil {
				return
			}
			delayed = nil
		}
		if err != nil {
			return
		}
	}
}

// pieces returns a function that reads the next piece: a complete message from the server of a framed link, otherwise
// the bytes that have arrived, at most maxPieceBytes. A piece is valid until the next call.
func (l *Link) pieces(d Direction, from net.Conn) func() ([]byte, error) {
	if d == ToServer || !l.framed {
		buf := make([]byte, maxPieceBytes)
		return func() ([]byte, error) {
			n, err := from.Read(buf)
			return buf[:n], err
		}
	}
	r := bufio.NewReader(from)
	return func() ([]byte, error) {
		head, err := r.Peek(4)
		if err != nil {
			return nil, err
		}
		frame := make([]byte, 4+binary.LittleEndian.Uint32(head)) // trusted: framed links only lead to fakes
		_, err = io.ReadFull(r, frame)
		return frame, err
	}
}
