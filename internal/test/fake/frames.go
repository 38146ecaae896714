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

// Frames serves data-node frames until the listener is closed.
func (f *Fleet) Frames(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go f.serveFrames(c)
	}
}

// partCall is the frame with which the program asks for a part; it begins with partCallType.
type partCall struct {
	Part
	line string // its first one, which words the part
}

// partCallType begins the frames that ask for a part; others are let be.
const partCallType = '1'

// parsePartCall reads a frame without its length.
func parsePartCall(frame []byte) (call partCall, err error) {
	call.line, _, _ = strings.Cut(string(frame[1:]), "\n")
	var length int
	_, err = fmt.Sscanf(call.line, "%s %d %s %d", &call.ID, &call.Shard, &call.List, &length)
	return call, err
}

// frameConn is a connection that several parts answer on.
type frameConn struct {
	net.Conn
	mu sync.Mutex
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

// serveFrames takes the parts of a connection until it ends, and answers each when its reply is due.
func (f *Fleet) serveFrames(conn net.Conn) {
	defer conn.Close()
	c, r := &frameConn{Conn: conn}, bufio.NewReader(conn)
	for {
		frame, err := readFrame(r)
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
		reply := f.take(call.Shard, call.line)
		if f.Heard != nil {
			f.Heard(call.Part, reply.Kind)
		}
		time.AfterFunc(reply.After, func() { f.answer(c, call, reply.Kind) })
	}
}

// answer does with a part what its kind of reply says.
func (f *Fleet) answer(c *frameConn, call partCall, kind Kind) {
	switch kind {
	case Serve:
		c.writeFrame(fmt.Sprintf("5%s S 1 -\n%s", call.ID, f.value(call.Shard)))
	case Spoil:
		c.writeFrame("5" + call.ID)
	case Fail:
		c.writeFrame(fmt.Sprintf("5%s E 0 -\n", call.ID))
	case Reject:
		c.writeFrame(fmt.Sprintf("5%s B 0 -\n", call.ID))
	case Break:
		c.Close()
	}
}

// value is what a frame says of a section, once the work for it is done.
func (f *Fleet) value(shard int) string {
	if f.Data == nil {
		return fmt.Sprintf("v%d", shard)
	}
	docs := f.Data.Docs(shard)
	f.work(unitsOf(len(docs), len(docs), false), nil)
	ids, _ := IDs(docs)
	return ids
}
