package config

import "testing"

// A reserve of a fixed size can leave clients one connection where the limits are low: every other client then waits
// until that one ends. So replicas' connections are a share of the descriptors, the program's own are few, and clients
// have what remains: a quarter of the descriptors at least, or what the memory holds.
func TestReservesFollowFromLimits(t *testing.T) {
	for _, tc := range []struct{ descriptors, memoryMB, clients, replicas int }{
		{256, 64, 168, 64},
		{1024, 192, 744, 256},
		{1024, 32, 256, 256},
	} {
		l := Limits{Descriptors: tc.descriptors, MemoryMB: tc.memoryMB}
		clients, replicas := l.ClientConns(), l.ReplicaConns()
		if clients != tc.clients || replicas != tc.replicas ||
			clients+replicas+reservedDescriptors > tc.descriptors || clients < tc.descriptors/4 {
			t.Errorf("%+v: %d for clients, %d for replicas", l, clients, replicas)
		}
	}
}

// Scripts read what a program ends with whose limits are too low, so the text does not follow the fields' names.
func TestLimitsErrorText(t *testing.T) {
	err := Limits{Cores: 0.5, MemoryMB: 16, Descriptors: 47}.check()
	if want := "limits {Cores:0.5 MemoryMB:16 Sockets:47} are too low"; err == nil || err.Error() != want {
		t.Errorf("%v, want %s", err, want)
	}
}
