package config

// Limits is what the platform grants this process.
type Limits struct {
	Cores       float64 `json:"cores"`     // processor cores; a part of one is allowed
	MemoryMB    int     `json:"memory_mb"` // resident memory, in MiB
	Descriptors int     `json:"sockets"`   // file descriptors that may be open at once
}

// defaultLimits hold where no platform gives any.
var defaultLimits = Limits{Cores: 1, MemoryMB: 192, Descriptors: 1024}

// How memory and descriptors are divided.
const (
	// heapFractionOfMemory is the fraction of the memory, from 0 to 1, that the heap may fill; stacks and the sockets'
	// buffers take the rest.
	heapFractionOfMemory = 0.6
	// memoryBytesPerCacheByte is how many bytes of memory there have to be for each byte that two-phase queries may
	// cache. The collector lets garbage grow to the size of the cache again, and buffers and queries need the rest.
	memoryBytesPerCacheByte = 16
	// bytesPerClientConn is the memory, in bytes, of a client's connection with its goroutines, its buffer and one open
	// request.
	bytesPerClientConn = 128 << 10
	// reservedDescriptors is how many descriptors the program needs itself: streams, poller, listeners, two connections
	// to discovery while its address changes, and files that are read again.
	reservedDescriptors = 24
	// descriptorsPerReplicaConn is how many descriptors there have to be for each connection to a replica: a quarter of
	// the descriptors is for replicas.
	descriptorsPerReplicaConn = 4
	// descriptorsPerIdleConn is how many descriptors there have to be for each idle connection of a client: a sixth of
	// the descriptors may be idle. Where memory does not bound them, clients have at least a third of the descriptors
	// if there are 58 or more, so that at least half of the clients' connections can have a request. With 48 to 57
	// descriptors clients have at least a quarter; limits that were halved can be lower still.
	descriptorsPerIdleConn = 6
)

// check refuses limits under which no coordinator can run. It is made before the limits are halved, so half of what
// passes can be less than what it asks for.
func (l Limits) check() error {
	if l.Descriptors < 2*reservedDescriptors || l.MemoryMB < 1 {
		return &LimitsError{l}
	}
	return nil
}

// halved is the limits of a process that PROXY_FD hands a listener. The platform may then run another version of the
// coordinator beside it, under the same grant, during a hand-over; both together stay within l. A process keeps to
// half for all of its life, also while it is alone. Cores are not halved.
func (l Limits) halved() Limits {
	l.MemoryMB, l.Descriptors = max(1, l.MemoryMB/2), l.Descriptors/2
	return l
}

// HeapBytes is the limit, in bytes, that a process with so many MiB of memory gives the collector.
func HeapBytes(memoryMB int) int64 {
	return int64(float64(memoryMB) * heapFractionOfMemory * (1 << 20))
}

// ReplicaConns is how many connections to replicas there may be, besides the first one to each.
func (l Limits) ReplicaConns() int { return max(1, l.Descriptors/descriptorsPerReplicaConn) }

// ClientConns is how many connections clients may have: as many as the descriptors that neither replicas nor the
// program itself need, and no more than the memory holds; one at least.
func (l Limits) ClientConns() int {
	byDescriptors := l.Descriptors - l.ReplicaConns() - reservedDescriptors
	byMemory := l.MemoryMB << 20 / bytesPerClientConn
	return max(1, min(byDescriptors, byMemory))
}

// IdleClientConns is how many of the clients' connections stay open without a request; one at least.
func (l Limits) IdleClientConns() int { return max(1, l.Descriptors/descriptorsPerIdleConn) }

// TwoPhaseCacheBytes is how many bytes the values may take that two-phase queries cache.
func (l Limits) TwoPhaseCacheBytes() int { return l.MemoryMB << 20 / memoryBytesPerCacheByte }
