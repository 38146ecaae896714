package lifecycle

import (
	"syscall"
	"testing"

	"harepass/internal/config"
	"harepass/internal/inventory"
)

// A signal to end and a reload signal are both pending, and a select could choose either. The signal to end must have
// precedence, so that nothing is read again. The process has no clock, so reading the inventory would panic.
func TestEndGoesBeforeReload(t *testing.T) {
	for range 100 {
		p := &process{Config: &config.Config{Inventory: &inventory.Reader{}}}
		signals := newSignals()
		signals.reloads <- syscall.SIGHUP
		signals.ends <- syscall.SIGTERM
		p.handleEvents(signals)
	}
}
