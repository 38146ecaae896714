package config

// Limits holds the resources that the platform grants to this process.
type Limits struct {
	Cores       float64 `json:"cores"`     // processor cores; fractions are allowed
	MemoryMB    int     `json:"memory_mb"` // resident memory, in MiB
	Descriptors int     `json:"sockets"`   // file descriptors that may be open at once
}

// defaultLimits has the value of each limit that the platform does not set.
var defaultLimits = Limits{Cores: 1, MemoryMB: 192, Descriptors: 1024}

// Division of memory and descriptors.
const (
	// heapFractionOfMemory is the fraction of the memory, from 0 to 1, that the Go runtime's memory limit allows. That
	// limit also counts goroutine stacks; the rest is for memory that it does not count, such as socket buffers.
	heapFractionOfMemory = 0.6
	// memoryBytesPerCacheByte is the number of bytes of memory per byte that two-phase queries may cache. The garbage
	// collector lets garbage grow to the size of the cache again, and buffers and queries need the rest.
	memoryBytesPerCacheByte = 16
	// bytesPerClientConn is the memory, in bytes, that a client connection needs with its goroutines, its buffer and
	// one open request.
	bytesPerClientConn = 128 << 10
	// requestMemoryDivisor divides the memory: requests of clients may take a fifth of it beyond what each connection
	// has for ordinary ones.
	requestMemoryDivisor = 5
	// reservedDescriptors is the number of descriptors for the program itself: standard streams, poller, listeners, two
	// connections to discovery while its address changes, and files that are read again.
	reservedDescriptors = 24
	// replicaConnsDivisor divides the descriptors: connections to replicas get a quarter of them.
	replicaConnsDivisor = 4
	// idleConnsDivisor divides the descriptors: at most a sixth of them may be idle client connections. Unless memory
	// limits them further, clients get at least a third of the descriptors if there are 57 or more, so that at least
	// half of the client connections can have a request. With 48 to 56 descriptors, clients get at least a quarter;
	// halved limits can be lower still.
	idleConnsDivisor = 6
)

// check rejects memory and descriptors that are too low for a coordinator; it does not check cores. It runs before the
// limits are halved, so the halved limits can be lower than what it requires, but cover reservedDescriptors.
func (l Limits) check() error {
	if l.Descriptors < 2*reservedDescriptors || l.MemoryMB < 1 {
		return &LimitsError{l}
	}
	return nil
}

// halved returns the limits of a process that inherits its listener through PROXY_FD. During a hand-over, the platform
// may run another version of the coordinator beside it under the same limits l, and both together must stay within l.
// The process uses the halved limits for its whole lifetime, also while it runs alone. Cores are not halved, and
// memory stays at 1 MiB or more, even if l has only 1 MiB for both.
func (l Limits) halved() Limits {
	l.MemoryMB, l.Descriptors = max(1, l.MemoryMB/2), l.Descriptors/2
	return l
}

// HeapBytes returns the memory limit of the Go runtime, in bytes, that a process with memoryMB MiB sets with
// debug.SetMemoryLimit. The limit covers all memory that the runtime manages, not only the heap.
func HeapBytes(memoryMB int) int64 {
	return int64(float64(memoryMB) * heapFractionOfMemory * (1 << 20))
}

// ReplicaConns returns the maximum number of connections to replicas. Every connection counts, but the first to each
// replica may exceed the maximum.
func (l Limits) ReplicaConns() int { return max(1, l.Descriptors/replicaConnsDivisor) }

// ClientConns returns the maximum number of client connections: the descriptors that neither replicas nor the program
// itself need, but no more than fit into memory, and at least one. It includes the connections to the admin endpoint,
// which package lifecycle subtracts.
func (l Limits) ClientConns() int {
	byDescriptors := l.Descriptors - l.ReplicaConns() - reservedDescriptors
	byMemory := l.MemoryMB << 20 / bytesPerClientConn
	return max(1, min(byDescriptors, byMemory))
}

// IdleClientConns returns the maximum number of client connections that stay open without a request; at least one.
func (l Limits) IdleClientConns() int { return max(1, l.Descriptors/idleConnsDivisor) }

// RequestBytes returns the memory, in bytes, that the requests of all client connections may take together.
func (l Limits) RequestBytes() int { return l.MemoryMB << 20 / requestMemoryDivisor }

// TwoPhaseCacheBytes returns the maximum size, in bytes, of the values that two-phase queries cache.
func (l Limits) TwoPhaseCacheBytes() int { return l.MemoryMB << 20 / memoryBytesPerCacheByte }
