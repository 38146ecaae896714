//go:build race

package endtoend

import "runtime"

// Virtual timers that several processors run at once bring down the race detector's own runtime (a failed CHECK in
// tsan_rtl, or a fault on g0), three runs of the model in four with Go 1.26. On one it holds, and what it finds goes by
// the order of events, not by how many run at once.
func init() { runtime.GOMAXPROCS(1) }
