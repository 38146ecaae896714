package faultinjection

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Direction is one of the two directions of a link.
type Direction int

// The directions of a link. The client is the side that connects to it.
const (
	ToServer Direction = iota
	ToClient
)

// Link forwards connections to a server, and faults can be injected into it. Its methods may be called by any
// goroutine. The zero value forwards nothing and is useful to tests only.
type Link struct {
	listener net.Listener
	target   string // address of the server
	framed   bool   // the server's messages have a length prefix, so that faults can affect single messages

	mu             sync.Mutex
	changed        *sync.Cond // signalled when a cut ends, connections are reset, or the link is closed
	cut            [2]bool    // by Direction: whether all bytes are held back
	delay          time.Duration
	bytesPerSecond int // bound in each direction; 0 for none
	messageFaults  MessageFaults
	rng            *rand.Rand            // draws messageFaults
	healthySince   time.Time             // when the last fault ended; zero while the link has a fault
	connections    map[net.Conn]struct{} // both ends of every open connection
	closed         bool
}

// NewLink opens a link to the server at the target address. The error comes from listening.
func NewLink(target string) (*Link, error) { return newLink(target, false) }

// NewFramedLink opens a link to a server that prefixes each message with its length, as four bytes in little-endian
// order. The error comes from listening.
func NewFramedLink(target string) (*Link, error) { return newLink(target, true) }

func newLink(target string, framed bool) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{
		listener:     listener,
		target:       target,
		framed:       framed,
		connections:  map[net.Conn]struct{}{},
		healthySince: time.Now(),
	}
	l.changed = sync.NewCond(&l.mu)
	go l.serve() // until Close
	return l, nil
}

// Address is the address at which clients connect to the link.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Cut holds back all bytes in a direction, or lets them pass again. Neither side is notified: bytes sent during the cut
// arrive after it if their connection is still open.
func (l *Link) Cut(d Direction, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[d] = cut
	l.updateHealthySince()
	l.changed.Broadcast()
}

// Delay holds back each piece of at most 16 KB, in both directions, for d from now on. 0 ends the delay.
func (l *Link) Delay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
	l.updateHealthySince()
}

// Throttle bounds the bytes per second in each direction from now on; 0 removes the bound.
func (l *Link) Throttle(bytesPerSecond int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytesPerSecond = bytesPerSecond
	l.updateHealthySince()
}

// Reset resets all open connections.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resetLocked()
}

// Heal ends all faults. Bytes that a cut has held back arrive now.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.healthySince.IsZero() {
		l.cut, l.delay, l.bytesPerSecond, l.messageFaults = [2]bool{}, 0, 0, MessageFaults{}
		l.updateHealthySince()
	}
	l.changed.Broadcast()
}

// HealthyFor returns how long the link has had no fault; 0 while it has one.
func (l *Link) HealthyFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.healthySince.IsZero() {
		return 0
	}
	return time.Since(l.healthySince)
}

// updateHealthySince must be called with the lock held after every change of the faults. It treats a change that leaves
// the link without faults as the end of a fault.
func (l *Link) updateHealthySince() {
	faulty := l.cut[ToServer] || l.cut[ToClient] || l.delay > 0 || l.bytesPerSecond > 0 ||
		l.messageFaults != (MessageFaults{})
	if faulty {
		l.healthySince = time.Time{}
	} else {
		l.healthySince = time.Now()
	}
}

// Close resets all connections and refuses new ones. It does not wait for bytes that are held back at that moment.
func (l *Link) Close() {
	l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.resetLocked()
}

// resetLocked resets all connections. The caller must hold the lock.
func (l *Link) resetLocked() {
	for c := range l.connections {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.Close()
		delete(l.connections, c)
	}
	l.changed.Broadcast()
}
