package faultinjection

import "math/rand/v2"

// MessageFaults are the shares, from 0 to 1, of a server's messages that get a fault. For each message, Drop is drawn
// first, then Duplicate, then Reorder; a message gets at most one fault. The zero value has no faults.
type MessageFaults struct {
	Drop      float64 // share that never arrives
	Duplicate float64 // share that arrives twice
	Reorder   float64 // share that arrives after the message that follows it
	Seed      uint64  // of the random source that draws the faults
}

// messageFault is the fault of one message.
type messageFault int

const (
	noMessageFault messageFault = iota
	messageDropped
	messageDuplicated
	messageReordered
)

// messageFaultStream is the second half of the random source's seed; the first half is MessageFaults.Seed.
const messageFaultStream = 0x6c696e6b

// InjectMessageFaults sets the faults of the server's messages on a framed link from now on. Other links ignore them.
func (l *Link) InjectMessageFaults(faults MessageFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.messageFaults, l.rng = faults, rand.New(rand.NewPCG(faults.Seed, messageFaultStream))
	l.updateHealthySince()
}

// drawMessageFault draws the fault of the next message in a direction. Only messages to the client of a framed link get
// faults.
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
