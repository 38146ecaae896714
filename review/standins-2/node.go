package main

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

// attempt is a part that a data node has received.
type attempt struct {
	number int // of the attempts of this part at this node, from 0
	id     string
	shard  int
	list   string
	text   string
	at     time.Time
	conn   *nodeConn
}

// node is a data node that speaks frames. Its script decides what it does with each part.
type node struct {
	rec     *record
	name    string
	address string
	group   int
	script  func(*attempt)
	gaveUp  func(id string, c *nodeConn) // receives frames 2; may be nil
	l       net.Listener
	mu      sync.Mutex
	counts  map[string]int
	all     []*attempt
}

// nodeConn is a connection of a node.
type nodeConn struct {
	net.Conn
	node *node
	mu   sync.Mutex
}

// startNode listens on a free port.
func startNode(rec *record, name string, group int, script func(*attempt)) (*node, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &node{rec: rec, name: name, address: l.Addr().String(), group: group, script: script, l: l, counts: map[string]int{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go n.serve(&nodeConn{Conn: c, node: n})
		}
	}()
	rec.add("%s, group %d, listens at %s", name, group, n.address)
	return n, nil
}

// entry returns the node's entry in discovery's list.
func (n *node) entry() endpoint {
	return endpoint{Name: n.name, Address: n.address, Zone: "a", Type: "k", Group: n.group, Status: "in_service", Weight: 1}
}

// attempts returns the attempts that have arrived so far.
func (n *node) attempts() []*attempt {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]*attempt{}, n.all...)
}

func (n *node) serve(c *nodeConn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		var head [4]byte
		if _, err := io.ReadFull(in, head[:]); err != nil {
			return
		}
		size := binary.LittleEndian.Uint32(head[:])
		if size < 1 || size > 1<<22 {
			return
		}
		frame := make([]byte, size)
		if _, err := io.ReadFull(in, frame); err != nil {
			return
		}
		switch frame[0] {
		case '1':
			if !n.call(c, frame[1:]) {
				return
			}
		case '2':
			n.rec.add("%s: frame 2 for %s", n.name, frame[1:])
			if n.gaveUp != nil {
				n.gaveUp(string(frame[1:]), c)
			}
		case '3':
			c.write('3', []byte("S"))
		case '4':
			c.write('4', []byte("-"))
		default:
			return
		}
	}
}

// call takes the parts of a call.
func (n *node) call(c *nodeConn, data []byte) bool {
	for len(data) > 0 {
		line, rest, ok := bytes.Cut(data, []byte("\n"))
		words := strings.Split(string(line), " ")
		if !ok || len(words) != 4 {
			return false
		}
		shard, err := strconv.Atoi(words[1])
		length, err2 := strconv.Atoi(words[3])
		if err != nil || err2 != nil || length < 0 || length > len(rest) {
			return false
		}
		at := &attempt{id: words[0], shard: shard, list: words[2], text: string(rest[:length]), at: time.Now(), conn: c}
		data = rest[length:]
		n.mu.Lock()
		at.number = n.counts[at.id]
		n.counts[at.id]++
		n.all = append(n.all, at)
		n.mu.Unlock()
		n.rec.add("%s: part %s arrives, its attempt %d here, list %s", n.name, at.id, at.number, at.list)
		go n.script(at)
	}
	return true
}

func (c *nodeConn) write(kind byte, rest []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	frame := binary.LittleEndian.AppendUint32(nil, uint32(1+len(rest)))
	c.Write(append(append(frame, kind), rest...))
}

// answer ends an attempt: S, E or B, with a value.
func (at *attempt) answer(end, value string) {
	at.conn.node.rec.add("%s: answers %s to %s, attempt %d here", at.conn.node.name, end, at.id, at.number)
	at.conn.write('5', []byte(fmt.Sprintf("%s %s 1840277719 -\n%s", at.id, end, value)))
}

// valueOf returns the value that a node makes for a part.
func valueOf(id string) string { return fmt.Sprintf("value-of-%s", id) }
