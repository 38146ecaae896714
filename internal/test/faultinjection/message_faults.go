package faultinjection

import "math/rand/v2"

// MessageFaults are the shares, from 0 to 1, of a server's messages that meet a fault. Drop is looked at first, then
// Duplicate, then Reorder; a message meets one fault at most. The zero value has no faults.
type MessageFaults struct {
	Drop      float64 // never arrive
	Duplicate float64 // arrive twice
	Reorder   float64 // arrive after the message that follows them
	Seed      uint64  // of the draws that decide
}

// messageFault is what becomes of one message.
type messageFault int

const (
	noMessageFault messageFault = iota
	messageDropped
	messageDuplicated
	messageReordered
)

// messageFaultStream is the second half of the random source's seed.
const messageFaultStream = 0x6c696e6b

// InjectMessageFaults says what becomes of the server's messages on a framed link from now on.
func (l *Link) InjectMessageFaults(faults MessageFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.messageFaults, l.rng = faults, rand.New(rand.NewPCG(faults.Seed, messageFaultStream))
	l.updateHealthySince()
}

// drawMessageFault decides what becomes of the next message in a direction.
func (l *Link) drawMessageFault(d Direction) messageFault {
	if d != ToClient || !l.framed {
		return noMessageFault
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.messageFaults == (MessageFaults{}) {
		return noMessageFault
	}
	for _, candidate := range []struct {
		share float64
		fault messageFault
	}{
		{l.messageFaults.Drop, messageDropped},
		{l.messageFaults.Duplicate, messageDuplicated},
		{l.messageFaults.Reorder, messageReordered},
	} {
		if l.rng.Float64() < candidate.share {
			return candidate.fault
		}
	}
	return noMessageFault
}
