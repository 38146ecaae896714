// Package faultinjection starts real processes of the program on loopback among stand-ins for all that surrounds them, breaks the ways
// between them, and holds what the stand-ins have recorded against the rules. It is for tests and the laboratory only.
package faultinjection

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Direction is one of a link's two.
type Direction int

// The directions, as whoever connects sees them.
const (
	ToServer Direction = iota
	ToClient
)

// pieceSize is how much a link passes on at once, at most.
const maxPieceBytes = 16 << 10

// Link stands in the way to an address and can be broken.
type Link struct {
	listener net.Listener
	target   string
	framed   bool

	mu             sync.Mutex
	changed        *sync.Cond
	cut            [2]bool
	delay          time.Duration
	bytesPerSecond int // bytes a second; 0 for as many as come
	messageFaults  MessageFaults
	rng            *rand.Rand
	healthySince   time.Time // when the last fault ended; of one that lasts, zero
	conns          map[net.Conn]struct{}
	closed         bool
}

// Spoil is what becomes of whole messages on the way back, as shares of them, drawn from a seed.
type MessageFaults struct {
	Drop, Duplicate, Reorder float64
	Seed                     uint64
}

// NewLink opens a way to an address; Address is where it begins.
func NewLink(to string) (*Link, error) { return newLink(to, false) }

// NewFramedLink does so where each message that comes back has its length in four bytes before it, least significant first.
func NewFramedLink(to string) (*Link, error) { return newLink(to, true) }

func newLink(to string, framed bool) (*Link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &Link{listener: l, target: to, framed: framed, conns: map[net.Conn]struct{}{}, healthySince: time.Now()}
	k.changed = sync.NewCond(&k.mu)
	go k.serve()
	return k, nil
}

// Address is where the way begins.
func (k *Link) Address() string { return k.listener.Addr().String() }

// Cut stops what goes in a direction, without a word: it arrives when the cut is over, if the connection still stands.
func (k *Link) Cut(d Direction, yes bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut[d] = yes
	k.updateHealthySince()
	k.changed.Broadcast()
}

// note keeps when the link became whole; under the lock.
func (k *Link) updateHealthySince() {
	if k.cut[ToServer] || k.cut[ToClient] || k.delay > 0 || k.bytesPerSecond > 0 || k.messageFaults != (MessageFaults{}) {
		k.healthySince = time.Time{}
	} else {
		k.healthySince = time.Now()
	}
}

// WholeFor is how long the link has had no fault; 0 while it has one.
func (k *Link) HealthyFor() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.healthySince.IsZero() {
		return 0
	}
	return time.Since(k.healthySince)
}

// Throttle is how many bytes a second pass in each direction from now on; 0 for as many as come.
func (k *Link) Throttle(rate int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.bytesPerSecond = rate
	k.updateHealthySince()
}

// Spoil is what becomes of messages that come back on a framed link from now on.
func (k *Link) InjectMessageFaults(s MessageFaults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.messageFaults, k.rng = s, rand.New(rand.NewPCG(s.Seed, 0x6c696e6b))
	k.updateHealthySince()
}

// Mend ends all faults. What was held up arrives now.
func (k *Link) Heal() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.healthySince.IsZero() {
		k.cut, k.delay, k.bytesPerSecond, k.messageFaults = [2]bool{}, 0, 0, MessageFaults{}
		k.updateHealthySince()
	}
	k.changed.Broadcast()
}

// Delay is how long each piece is held back from now on.
func (k *Link) Delay(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.delay = d
	k.updateHealthySince()
}

// Reset breaks all connections that stand.
func (k *Link) Reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.resetLocked()
}

// reset is called under the lock.
func (k *Link) resetLocked() {
	for c := range k.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.Close()
		delete(k.conns, c)
	}
	k.changed.Broadcast()
}

// Close ends the way; new connections are refused.
func (k *Link) Close() {
	k.listener.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed = true
	k.resetLocked()
}

func (k *Link) serve() {
	for {
		here, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.connect(here)
	}
}

// join connects one caller on. A way that is cut there does not come up either.
func (k *Link) connect(here net.Conn) {
	if !k.track(here) || !k.awaitPassage(ToServer, here, 0) {
		here.Close()
		return
	}
	there, err := net.Dial("tcp", k.target)
	if err != nil || !k.track(there) {
		here.Close()
		return
	}
	go k.copy(ToServer, here, there)
	k.copy(ToClient, there, here)
}

func (k *Link) track(c net.Conn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		c.Close()
		return false
	}
	k.conns[c] = struct{}{}
	return true
}

// pass waits until so many bytes may go in a direction; false where the connection has been reset meanwhile.
func (k *Link) awaitPassage(d Direction, c net.Conn, size int) bool {
	k.mu.Lock()
	wait := k.delay
	if k.bytesPerSecond > 0 {
		wait += time.Duration(size) * time.Second / time.Duration(k.bytesPerSecond)
	}
	k.mu.Unlock()
	time.Sleep(wait)
	k.mu.Lock()
	defer k.mu.Unlock()
	for {
		if _, stands := k.conns[c]; !stands || k.closed {
			return false
		}
		if !k.cut[d] {
			return true
		}
		k.changed.Wait()
	}
}

// copy passes bytes on in order. When one side ends, both do.
func (k *Link) copy(d Direction, from, to net.Conn) {
	defer func() {
		k.mu.Lock()
		delete(k.conns, from)
		delete(k.conns, to)
		k.changed.Broadcast()
		k.mu.Unlock()
		from.Close()
		to.Close()
	}()
	var swapped []byte // waits for the next one
	for next := k.reader(d, from); ; {
		piece, err := next()
		if len(piece) > 0 {
			if !k.awaitPassage(d, from, len(piece)) {
				return
			}
			var fate messageFault
			if d == ToClient && k.framed {
				fate = k.drawMessageFault()
			}
			switch {
			case fate == messageDropped:
				continue
			case fate == messageReordered && swapped == nil:
				swapped = bytes.Clone(piece)
				continue
			case fate == messageDuplicated:
				piece = append(bytes.Clone(piece), piece...)
			}
			if _, err := to.Write(append(bytes.Clone(piece), swapped...)); err != nil {
				return
			}
			swapped = nil
		}
		if err != nil {
			return
		}
	}
}

// reader reads whole messages where they are told apart, pieces as they come elsewhere.
func (k *Link) reader(d Direction, from net.Conn) func() ([]byte, error) {
	if d == ToServer || !k.framed {
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
		frame := make([]byte, 4+binary.LittleEndian.Uint32(head)) // the stand-ins' own length
		_, err = io.ReadFull(r, frame)
		return frame, err
	}
}

// fate is what becomes of a message.
type messageFault int

const (
	noMessageFault messageFault = iota
	messageDropped
	messageDuplicated
	messageReordered
)

func (k *Link) drawMessageFault() messageFault {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.messageFaults == (MessageFaults{}) {
		return noMessageFault
	}
	for _, c := range []struct {
		share float64
		fate  messageFault
	}{{k.messageFaults.Drop, messageDropped}, {k.messageFaults.Duplicate, messageDuplicated}, {k.messageFaults.Reorder, messageReordered}} {
		if k.rng.Float64() < c.share {
			return c.fate
		}
	}
	return noMessageFault
}
