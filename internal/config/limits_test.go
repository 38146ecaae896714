package config

import "testing"

// There were days on which a reserve of a fixed size left clients one connection. Each reserve follows from the
// limits, so that clients have a quarter of the descriptors at least.
func TestReservesFollowFromLimits(t *testing.T) {
	for _, tc := range []struct{ sockets, memoryMB, clients, replicas int }{
		{256, 64, 168, 64},
		{1024, 192, 744, 256},
		{1024, 32, 256, 256},
	} {
		l := Limits{Sockets: tc.sockets, MemoryMB: tc.memoryMB}
		clients, replicas := l.ClientConns(), l.ReplicaConns()
		if clients != tc.clients || replicas != tc.replicas || clients+replicas+reservedSockets > tc.sockets ||
			clients < tc.sockets/4 {
			t.Errorf("%+v: %d for clients, %d for replicas", l, clients, replicas)
		}
	}
}
