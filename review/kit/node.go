package kit

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Part is a part of a call as a map node gets it.
type Part struct {
	Node    string
	ID      string
	Shard   int
	List    string
	Body    string
	Arrived time.Time
}

// Node is a map node that speaks the platform's frames.
type Node struct {
	Name    string
	Address string
	// Serve answers a part by calling answer once, with an end (S, E or B) and a value, from any goroutine. It is called
	// by a goroutine of the part's connection and must not block.
	Serve func(p Part, answer func(end, value string))
	// GivenUp, if not nil, is called for each frame that gives up a part.
	GivenUp func(node, id string)

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// StartNode starts a map node on a free loopback port.
func (c *Case) StartNode(n *Node) *Node {
	l := c.Listen()
	n.Address, n.conns = l.Addr().String(), map[net.Conn]struct{}{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			n.mu.Lock()
			n.conns[conn] = struct{}{}
			n.mu.Unlock()
			go n.serve(conn)
		}
	}()
	return n
}

func (n *Node) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		n.mu.Lock()
		delete(n.conns, conn)
		n.mu.Unlock()
	}()
	var writing sync.Mutex
	write := func(text string) {
		writing.Lock()
		defer writing.Unlock()
		conn.Write(append(binary.LittleEndian.AppendUint32(nil, uint32(len(text))), text...))
	}
	r := bufio.NewReader(conn)
	for {
		var length uint32
		if binary.Read(r, binary.LittleEndian, &length) != nil || length < 1 || length > 1<<20 {
			return
		}
		frame := make([]byte, length)
		if _, err := io.ReadFull(r, frame); err != nil {
			return
		}
		switch frame[0] {
		case '1':
			if !n.call(frame[1:], write) {
				write("Xcannot use that")
				return
			}
		case '2':
			if n.GivenUp != nil {
				n.GivenUp(n.Name, string(frame[1:]))
			}
		case '3':
			write("3S")
		case '4':
			write("4-")
		default:
			write("Xunknown letter")
			return
		}
	}
}

// call serves the parts of a call.
func (n *Node) call(rest []byte, write func(string)) bool {
	for len(rest) > 0 {
		line, after, found := bytes.Cut(rest, []byte("\n"))
		f := strings.Fields(string(line))
		if !found || len(f) != 4 {
			return false
		}
		shard, err := strconv.Atoi(f[1])
		length, err2 := strconv.Atoi(f[3])
		if err != nil || err2 != nil || length < 0 || length > len(after) {
			return false
		}
		p := Part{Node: n.Name, ID: f[0], Shard: shard, List: f[2], Body: string(after[:length]), Arrived: time.Now()}
		rest = after[length:]
		var once sync.Once
		n.Serve(p, func(end, value string) {
			once.Do(func() { write(fmt.Sprintf("5%s %s 1 -\n%s", p.ID, end, value)) })
		})
	}
	return true
}
