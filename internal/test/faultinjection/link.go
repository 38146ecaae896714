package faultinjection

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Direction is one of a link's two.
type Direction int

// The directions, as seen by whoever connects.
const (
	ToServer Direction = iota
	ToClient
)

// Link forwards connections to a server and can be given faults. Its methods may be called by any goroutine. The zero
// value is of use to tests only: it forwards nothing.
type Link struct {
	listener net.Listener
	target   string // address of the server
	framed   bool   // the server's messages have their length in front, so that single ones can meet a fault

	mu             sync.Mutex
	changed        *sync.Cond // signalled when a cut ends, connections are reset, or the link is closed
	cut            [2]bool    // by Direction: nothing passes
	delay          time.Duration
	bytesPerSecond int // that pass in each direction; 0 for no bound
	messageFaults  MessageFaults
	rng            *rand.Rand            // draws messageFaults
	healthySince   time.Time             // when the last fault ended; zero while there is one
	connections    map[net.Conn]struct{} // both ends of all that stand
	closed         bool
}

// NewLink opens a link to the server at an address. The error is that of listening.
func NewLink(target string) (*Link, error) { return newLink(target, false) }

// NewFramedLink opens a link to a server each of whose messages has its length in four bytes before it, least
// significant first. The error is that of listening.
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

// Address is where clients connect to the link.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Cut stops all bytes in a direction, or lets them pass again. Nobody is notified: what was sent arrives when the cut
// is over, if its connection still stands.
func (l *Link) Cut(d Direction, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[d] = cut
	l.updateHealthySince()
	l.changed.Broadcast()
}

// Delay holds back each piece of at most 16 KB for a time from now on.
func (l *Link) Delay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
	l.updateHealthySince()
}

// Throttle bounds the bytes a second that pass in each direction from now on; 0 lifts the bound.
func (l *Link) Throttle(bytesPerSecond int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytesPerSecond = bytesPerSecond
	l.updateHealthySince()
}

// Reset resets all connections that stand.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resetLocked()
}

// Heal ends all faults. What was held up arrives now.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.healthySince.IsZero() {
		l.cut, l.delay, l.bytesPerSecond, l.messageFaults = [2]bool{}, 0, 0, MessageFaults{}
		l.updateHealthySince()
	}
	l.changed.Broadcast()
}

// HealthyFor is for how long the link has had no fault; 0 while it has one.
func (l *Link) HealthyFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.healthySince.IsZero() {
		return 0
	}
	return time.Since(l.healthySince)
}

// updateHealthySince is to be called under the lock after every change of a fault. A change that leaves the link
// without faults counts as the end of one.
func (l *Link) updateHealthySince() {
	faulty := l.cut[ToServer] || l.cut[ToClient] || l.delay > 0 || l.bytesPerSecond > 0 ||
		l.messageFaults != (MessageFaults{})
	if faulty {
		l.healthySince = time.Time{}
	} else {
		l.healthySince = time.Now()
	}
}

// Close resets all connections; new ones are refused. It does not wait for what is held back at that moment.
func (l *Link) Close() {
	l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.resetLocked()
}

// resetLocked resets all connections. It is to be called under the lock.
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
