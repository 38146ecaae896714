package lifecycle

import (
	"context"
	"errors"
	"syscall"
	"testing"

	"harepass/internal/config"
	"harepass/internal/inventory"
)

// A signal to end and a reload signal are both pending, and a select could choose either. The signal to end must have
// precedence, so that nothing is read again.
func TestEndGoesBeforeReload(t *testing.T) {
	for range 100 {
		p := &process{Config: &config.Config{Inventory: &inventory.Reader{}},
			inventoryReloads: &inventoryReloader{pending: make(chan struct{}, 1)}}
		signals := newSignals()
		signals.reloads <- syscall.SIGHUP
		signals.ends <- syscall.SIGTERM
		p.handleEvents(signals)
		if len(p.inventoryReloads.pending) > 0 {
			t.Fatal("the inventory is to be read again after a signal to end")
		}
	}
}

// A signal to end arrives while the configuration is read at the start, which can take seconds if a file is being
// written. It ends the reading, and the process still sees it afterwards; without one, the reading goes on.
func TestContextEndsWithSignal(t *testing.T) {
	signals := newSignals()
	ctx, stop := signals.Context()
	if ctx.Err() != nil {
		t.Fatalf("before a signal: %v", ctx.Err())
	}
	signals.ends <- syscall.SIGTERM
	<-ctx.Done()
	stop()
	if cause := context.Cause(ctx); !errors.Is(cause, ErrEnded) || len(signals.ends) != 1 {
		t.Errorf("after SIGTERM: cause %v, %d signals left; want ErrEnded and 1", cause, len(signals.ends))
	}
	ctx, stop = newSignals().Context()
	if stop(); errors.Is(context.Cause(ctx), ErrEnded) {
		t.Error("without a signal, the context says that there was one")
	}
}
