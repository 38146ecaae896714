package fake

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// partCallType is the type byte of a frame that requests a part. Frames of all other types are ignored, also those that
// cancel a part.
const partCallType = '1'

// ServeFrames serves parts in the platform's frames until the listener is closed. Connections accepted by then stay
// open.
func (r *Replicas) ServeFrames(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go r.serveConnection(conn)
	}
}

// partCall is a frame that requests a part.
type partCall struct {
	Part
	line string // the frame's first line, which describes the part
}

// parsePartCall parses a frame, given without its length prefix. The line ends with the length of the part's body,
// which must be present but is not used.
func parsePartCall(frame []byte) (call partCall, err error) {
	call.line, _, _ = strings.Cut(string(frame[1:]), "\n")
	var length int
	_, err = fmt.Sscanf(call.line, "%s %d %s %d", &call.ID, &call.Shard, &call.List, &length)
	return call, err
}

// frameConn is a connection on which several parts are answered, each by its own goroutine.
type frameConn struct {
	net.Conn
	mu sync.Mutex // held while a frame is written
}

// writeFrame writes a length prefix and the frame.
func (c *frameConn) writeFrame(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	length := binary.LittleEndian.AppendUint32(nil, uint32(len(text)))
	c.Write(append(length, text...))
}

// readFrame reads a length prefix and the frame that follows it. The length counts the type byte but not the prefix
// itself. It is not bounded, because the peer is trusted. The error is io.EOF also if the input ends right after the
// prefix.
func readFrame(r io.Reader) ([]byte, error) {
	var length uint32
	if err := binary.Read(r, binary.LittleEndian, &length); err != nil {
		return nil, err
	}
	frame := make([]byte, length)
	_, err := io.ReadFull(r, frame)
	return frame, err
}

// serveConnection reads the parts of a connection until it ends, and answers each part when its reply is due.
func (r *Replicas) serveConnection(conn net.Conn) {
	defer conn.Close()
	c, reader := &frameConn{Conn: conn}, bufio.NewReader(conn)
	for {
		frame, err := readFrame(reader)
		if err != nil {
			return
		}
		if frame[0] != partCallType {
			continue
		}
		call, err := parsePartCall(frame)
		if err != nil {
			c.writeFrame("Xbad line") // type X: the replica could not use a frame, and closes the connection
			return
		}
		reply := r.receive(call.Shard, call.line)
		if r.OnPart != nil {
			r.OnPart(call.Part, reply.Kind)
		}
		time.AfterFunc(reply.After, func() { r.sendReply(c, call, reply.Kind) })
	}
}

// sendReply answers a part with a kind of reply; for NoReply it sends nothing. An answer has type 5 and a line with the
// part's ID, its end (S for success, E for error, B for rejection), a score and a report, followed by the value.
func (r *Replicas) sendReply(c *frameConn, call partCall, kind Kind) {
	switch kind {
	case Serve:
		c.writeFrame(fmt.Sprintf("5%s S 1 -\n%s", call.ID, r.value(call.Shard)))
	case Corrupt:
		c.writeFrame("5" + call.ID) // the line breaks off after the ID
	case Fail:
		c.writeFrame(fmt.Sprintf("5%s E 0 -\n", call.ID))
	case Reject:
		c.writeFrame(fmt.Sprintf("5%s B 0 -\n", call.ID))
	case Disconnect:
		c.Close()
	}
}

// value returns a shard's value in a frame. With Data, it first does the work of reading all documents.
func (r *Replicas) value(shard int) string {
	if r.Data == nil {
		return fmt.Sprintf("v%d", shard)
	}
	docs := r.Data.Docs(shard)
	r.work(searchWork(len(docs), len(docs), false), nil)
	ids, _ := DocumentIDs(docs)
	return ids
}
