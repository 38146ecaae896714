package config

import "testing"

// Under low limits, a reserve of a fixed size could leave clients a single connection, and all other clients would wait
// until it ends. So replicas get a share of the descriptors, the program itself reserves few, and clients get the rest:
// at least a quarter of the descriptors, or as many connections as fit into memory.
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
			t.Errorf("%+v: %d client connections and %d replica connections", l, clients, replicas)
		}
	}
}

// Scripts read the error with which a program exits when its limits are too low, so its text keeps its names when
// fields are renamed.
func TestLimitsErrorText(t *testing.T) {
	err := Limits{Cores: 0.5, MemoryMB: 16, Descriptors: 47}.check()
	if want := "limits {Cores:0.5 MemoryMB:16 Sockets:47} are too low"; err == nil || err.Error() != want {
		t.Errorf("error %v, want %s", err, want)
	}
}
