// Package rig starts real processes of the program on loopback among stand-ins for all that surrounds them, breaks the ways
// between them, and holds what the stand-ins have recorded against the rules. It is for tests and the laboratory only.
package rig

import (
	"net"
	"sync"
	"time"
)

// Direction is one of a link's two.
type Direction int

// The directions, as whoever connects sees them.
const (
	There Direction = iota
	Back
)

// pieceSize is how much a link passes on at once, at most.
const pieceSize = 16 << 10

// Link stands in the way to an address and can be broken.
type Link struct {
	l  net.Listener
	to string

	mu    sync.Mutex
	heal  *sync.Cond
	cut   [2]bool
	delay time.Duration
	conns map[net.Conn]struct{}
	ended bool
}

// NewLink opens a way to an address; Address is where it begins.
func NewLink(to string) (*Link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &Link{l: l, to: to, conns: map[net.Conn]struct{}{}}
	k.heal = sync.NewCond(&k.mu)
	go k.serve()
	return k, nil
}

// Address is where the way begins.
func (k *Link) Address() string { return k.l.Addr().String() }

// Cut stops what goes in a direction, without a word: it arrives when the cut is over, if the connection still stands.
func (k *Link) Cut(d Direction, yes bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut[d] = yes
	k.heal.Broadcast()
}

// Delay is how long each piece is held back from now on.
func (k *Link) Delay(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.delay = d
}

// Reset breaks all connections that stand.
func (k *Link) Reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reset()
}

// reset is called under the lock.
func (k *Link) reset() {
	for c := range k.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.Close()
		delete(k.conns, c)
	}
	k.heal.Broadcast()
}

// Close ends the way; new connections are refused.
func (k *Link) Close() {
	k.l.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ended = true
	k.reset()
}

func (k *Link) serve() {
	for {
		here, err := k.l.Accept()
		if err != nil {
			return
		}
		go k.join(here)
	}
}

// join connects one caller on. A way that is cut there does not come up either.
func (k *Link) join(here net.Conn) {
	if !k.keep(here) || !k.pass(There, here) {
		here.Close()
		return
	}
	there, err := net.Dial("tcp", k.to)
	if err != nil || !k.keep(there) {
		here.Close()
		return
	}
	go k.copy(There, here, there)
	k.copy(Back, there, here)
}

func (k *Link) keep(c net.Conn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended {
		c.Close()
		return false
	}
	k.conns[c] = struct{}{}
	return true
}

// pass waits until a direction is open; false where the connection has been reset meanwhile.
func (k *Link) pass(d Direction, c net.Conn) bool {
	k.mu.Lock()
	delay := k.delay
	k.mu.Unlock()
	time.Sleep(delay)
	k.mu.Lock()
	defer k.mu.Unlock()
	for {
		if _, stands := k.conns[c]; !stands || k.ended {
			return false
		}
		if !k.cut[d] {
			return true
		}
		k.heal.Wait()
	}
}

// copy passes bytes on in order. When one side ends, both do.
func (k *Link) copy(d Direction, from, to net.Conn) {
	defer func() {
		k.mu.Lock()
		delete(k.conns, from)
		delete(k.conns, to)
		k.heal.Broadcast()
		k.mu.Unlock()
		from.Close()
		to.Close()
	}()
	buf := make([]byte, pieceSize)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !k.pass(d, from) {
				return
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
