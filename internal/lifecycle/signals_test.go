package lifecycle

import (
	"syscall"
	"testing"

	"harepass/internal/config"
	"harepass/internal/inventory"
)

// An end and a reload are there at once, and a select takes either. The end goes first, whichever came first: nothing
// is read again. There is no clock, so reading the inventory would panic.
func TestEndGoesBeforeReload(t *testing.T) {
	for range 100 {
		p := &process{Config: &config.Config{Inventory: &inventory.Reader{}}}
		signals := newSignals()
		signals.reloads <- syscall.SIGHUP
		signals.ends <- syscall.SIGTERM
		p.handleEvents(signals)
	}
}
