package fleetsim

import (
	"fmt"
	"time"

	"harepass/internal/decide/scatter"
	"harepass/internal/test/fake"
)

// Node is an emulated node.
type Node struct {
	fake.Machine
	Zone  int
	Down  bool // nothing is answered, and no connection comes up
	Hung  bool // takes parts and answers none
	Parts int  // sent to it in the present phase

	id           string
	number       int
	cell         int
	lastUsed     map[int]time.Duration // of its connections, by member
	coldArrivals []coldArrival
}

// coldArrival is a part that came to a cold node.
type coldArrival struct {
	at       time.Duration
	informed bool // its member had been told of the node's start
}

func newNode(number int, c Config) *Node {
	return &Node{id: fmt.Sprint("n", number), number: number, cell: number / c.NodesPerCell, Zone: number % zones, lastUsed: map[int]time.Duration{},
		Machine: fake.Machine{ServiceTime: partWork, Cores: nodeCores, QueueLength: nodeQueue,
			InitialCapacity: c.Cold.InitialCapacity, SlowStart: c.Cold.Duration, OverloadFactor: c.Cold.OverloadFactor, OverloadWindow: c.Cold.Window}}
}

// DropConnections closes all of them.
func (n *Node) DropConnections() { clear(n.lastUsed) }

// replica is the node as lists have it.
func (n *Node) replica() scatter.Replica {
	return scatter.Replica{ID: n.id, RingPosition: n.cell, Zone: fmt.Sprint("z", n.Zone), StartedAt: n.StartedAt}
}

// take is how an attempt ends that a member begins now, and after what time.
func (n *Node) take(m *member, now, timeout time.Duration) (outcome scatter.Outcome, took time.Duration) {
	began := now
	if last, open := n.lastUsed[m.number]; !open || now-last > keepAlive {
		began += connectTime
	}
	if n.Down {
		delete(n.lastUsed, m.number)
		return scatter.ConnectFailed, min(connectTimeout, timeout)
	}
	n.lastUsed[m.number] = now
	if n.Hung {
		return scatter.TimedOut, timeout
	}
	if n.Capacity(began) < 1 {
		n.coldArrivals = append(n.coldArrivals, coldArrival{began, m.startsKnown[n.id] == n.StartedAt})
	}
	end, taken := n.Accept(began)
	switch took = end - now; {
	case !taken:
		return scatter.Rejected, took
	case took > timeout:
		return scatter.TimedOut, timeout
	}
	return scatter.Succeeded, took
}
