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
	There Direction = iota
	Back
)

// pieceSize is how much a link passes on at once, at most.
const pieceSize = 16 << 10

// Link stands in the way to an address and can be broken.
type Link struct {
	l      net.Listener
	to     string
	framed bool

	mu    sync.Mutex
	heal  *sync.Cond
	cut   [2]bool
	delay time.Duration
	rate  int // bytes a second; 0 for as many as come
	spoil Spoil
	rng   *rand.Rand
	since time.Time // when the last fault ended; of one that lasts, zero
	conns map[net.Conn]struct{}
	ended bool
}

// Spoil is what becomes of whole messages on the way back, as shares of them, drawn from a seed.
type Spoil struct {
	Lose, Twice, Swap float64
	Seed              uint64
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
	k := &Link{l: l, to: to, framed: framed, conns: map[net.Conn]struct{}{}, since: time.Now()}
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
	k.note()
	k.heal.Broadcast()
}

// note keeps when the link became whole; under the lock.
func (k *Link) note() {
	if k.cut[There] || k.cut[Back] || k.delay > 0 || k.rate > 0 || k.spoil != (Spoil{}) {
		k.since = time.Time{}
	} else {
		k.since = time.Now()
	}
}

// WholeFor is how long the link has had no fault; 0 while it has one.
func (k *Link) WholeFor() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.since.IsZero() {
		return 0
	}
	return time.Since(k.since)
}

// Throttle is how many bytes a second pass in each direction from now on; 0 for as many as come.
func (k *Link) Throttle(rate int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rate = rate
	k.note()
}

// Spoil is what becomes of messages that come back on a framed link from now on.
func (k *Link) Spoil(s Spoil) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.spoil, k.rng = s, rand.New(rand.NewPCG(s.Seed, 0x6c696e6b))
	k.note()
}

// Mend ends all faults. What was held up arrives now.
func (k *Link) Mend() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.since.IsZero() {
		k.cut, k.delay, k.rate, k.spoil = [2]bool{}, 0, 0, Spoil{}
		k.note()
	}
	k.heal.Broadcast()
}

// Delay is how long each piece is held back from now on.
func (k *Link) Delay(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.delay = d
	k.note()
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
	if !k.keep(here) || !k.pass(There, here, 0) {
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

// pass waits until so many bytes may go in a direction; false where the connection has been reset meanwhile.
func (k *Link) pass(d Direction, c net.Conn, size int) bool {
	k.mu.Lock()
	wait := k.delay
	if k.rate > 0 {
		wait += time.Duration(size) * time.Second / time.Duration(k.rate)
	}
	k.mu.Unlock()
	time.Sleep(wait)
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
	var swapped []byte // waits for the next one
	for next := k.reader(d, from); ; {
		piece, err := next()
		if len(piece) > 0 {
			if !k.pass(d, from, len(piece)) {
				return
			}
			var fate fate
			if d == Back && k.framed {
				fate = k.fate()
			}
			switch {
			case fate == lost:
				continue
			case fate == swap && swapped == nil:
				swapped = bytes.Clone(piece)
				continue
			case fate == twice:
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
	if d == There || !k.framed {
		buf := make([]byte, pieceSize)
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
type fate int

const (
	passes fate = iota
	lost
	twice
	swap
)

func (k *Link) fate() fate {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.spoil == (Spoil{}) {
		return passes
	}
	for _, c := range []struct {
		share float64
		fate  fate
	}{{k.spoil.Lose, lost}, {k.spoil.Twice, twice}, {k.spoil.Swap, swap}} {
		if k.rng.Float64() < c.share {
			return c.fate
		}
	}
	return passes
}
