package config

// Limits is what the platform grants this process.
type Limits struct {
	Cores    float64 `json:"cores"`     // processor cores; a part of one is allowed
	MemoryMB int     `json:"memory_mb"` // resident memory, in MiB
	Sockets  int     `json:"sockets"`   // file descriptors
}

// defaultLimits hold where no platform gives any.
var defaultLimits = Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}

const (
	// heapShare is the part of the memory that is the heap's; stacks and the sockets' buffers take the rest.
	heapShare = 0.6
	// reservedSockets is how many descriptors the program needs itself: streams, poller, listeners, discovery twice
	// while it moves, and files that are read again.
	reservedSockets = 24
	// clientConnBytes is what a client's connection costs with its goroutines, buffer and one open request.
	clientConnBytes = 128 << 10
	// replicaShare divides the descriptors: one in so many is for connections to replicas.
	replicaShare = 4
	// idleShare divides the descriptors: one in so many may be an idle client's. Clients have at least a third for
	// requests, and half of that remains for those who come next.
	idleShare = 6
	// cacheShare divides the memory: one in so many bytes may be cached for two-phase queries. The collector lets
	// garbage grow to as much again, and buffers and queries need the rest.
	cacheShare = 16
)

// check refuses limits under which no coordinator can run.
func (l Limits) check() error {
	if l.Sockets < 2*reservedSockets || l.MemoryMB < 1 {
		return &LimitsError{l}
	}
	return nil
}

// half is what one process may use where a new version is started beside it: both together stay within l.
func (l Limits) half() Limits {
	l.MemoryMB, l.Sockets = max(1, l.MemoryMB/2), l.Sockets/2
	return l
}

// HeapBytes is the live heap that the collector keeps to in a process with so many MiB of memory.
func HeapBytes(memoryMB int) int64 { return int64(float64(memoryMB) * heapShare * (1 << 20)) }

// ReplicaConns is how many connections to replicas there may be, besides the first one to each.
func (l Limits) ReplicaConns() int { return max(1, l.Sockets/replicaShare) }

// ClientConns is how many connections clients may have, bounded by descriptors and by memory.
func (l Limits) ClientConns() int {
	return max(1, min(l.Sockets-l.ReplicaConns()-reservedSockets, l.MemoryMB<<20/clientConnBytes))
}

// IdleClientConns is how many connections stay open for clients that may ask again.
func (l Limits) IdleClientConns() int { return max(1, l.Sockets/idleShare) }

// TwoPhaseCacheBytes is how many bytes the values may take that two-phase queries cache.
func (l Limits) TwoPhaseCacheBytes() int { return l.MemoryMB << 20 / cacheShare }
