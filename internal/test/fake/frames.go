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

// partCallType begins the frames that ask for a part. All other frames are ignored.
const partCallType = '1'

// ServeFrames serves the platform's frames until the listener is closed.
func (r *Replicas) ServeFrames(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go r.serveConnection(conn)
	}
}

// partCall is a frame that asks for a part.
type partCall struct {
	Part
	line string // the frame's first line, which has the part
}

// parsePartCall reads a frame without its length.
func parsePartCall(frame []byte) (call partCall, err error) {
	call.line, _, _ = strings.Cut(string(frame[1:]), "\n")
	var length int
	_, err = fmt.Sscanf(call.line, "%s %d %s %d", &call.ID, &call.Shard, &call.List, &length)
	return call, err
}

// frameConn is a connection on which several parts are answered, each by a goroutine of its own.
type frameConn struct {
	net.Conn
	mu sync.Mutex // held for each frame that is written
}

// writeFrame writes a frame behind its length.
func (c *frameConn) writeFrame(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	length := binary.LittleEndian.AppendUint32(nil, uint32(len(text)))
	c.Write(append(length, text...))
}

// readFrame reads a frame behind its length.
func readFrame(r io.Reader) ([]byte, error) {
	var length uint32
	if err := binary.Read(r, binary.LittleEndian, &length); err != nil {
		return nil, err
	}
	frame := make([]byte, length)
	_, err := io.ReadFull(r, frame)
	return frame, err
}

// serveConnection takes the parts of a connection until it ends, and answers each when its reply is due.
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
			c.writeFrame("Xbad line")
			return
		}
		reply := r.receive(call.Shard, call.line)
		if r.OnPart != nil {
			r.OnPart(call.Part, reply.Kind)
		}
		time.AfterFunc(reply.After, func() { r.reply(c, call, reply.Kind) })
	}
}

// reply does with a part what its kind of reply says.
func (r *Replicas) reply(c *frameConn, call partCall, kind Kind) {
	switch kind {
	case Serve:
		c.writeFrame(fmt.Sprintf("5%s S 1 -\n%s", call.ID, r.value(call.Shard)))
	case Corrupt:
		c.writeFrame("5" + call.ID)
	case Fail:
		c.writeFrame(fmt.Sprintf("5%s E 0 -\n", call.ID))
	case Reject:
		c.writeFrame(fmt.Sprintf("5%s B 0 -\n", call.ID))
	case Disconnect:
		c.Close()
	}
}

// value is what a frame has of a shard, once the work for it is done.
func (r *Replicas) value(shard int) string {
	if r.Data == nil {
		return fmt.Sprintf("v%d", shard)
	}
	docs := r.Data.Docs(shard)
	r.work(searchWork(len(docs), len(docs), false), nil)
	ids, _ := DocumentIDs(docs)
	return ids
}
