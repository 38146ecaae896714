package lifecycle

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// ErrEnded is the cause of a context of Signals after a signal to end.
var ErrEnded = errors.New("lifecycle: ended by a signal")

// Signals holds the signals that a program handles. Signals to end and to reload have separate channels: a full channel
// drops further signals, and reload signals must never cause a signal to end to be dropped.
type Signals struct {
	ends    chan os.Signal // SIGTERM and SIGINT, handled alike
	reloads chan os.Signal // SIGHUP; while one is pending, further ones are dropped: one reload serves them all
}

// NotifySignals starts receiving the signals. Call it once, before any work that takes long.
func NotifySignals() *Signals {
	s := newSignals()
	signal.Notify(s.ends, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reloads, syscall.SIGHUP)
	return s
}

// newSignals returns Signals that do not receive from the operating system yet.
func newSignals() *Signals {
	return &Signals{make(chan os.Signal, 1), make(chan os.Signal, 1)}
}

// Context returns a context that is done once a signal to end has arrived, for work before untilEnd. untilEnd still
// sees the signal. The caller calls stop when the work is done, and before untilEnd.
func (s *Signals) Context() (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(context.Background())
	var watching sync.WaitGroup
	watching.Go(func() {
		select {
		case end := <-s.ends:
			cancel(ErrEnded)
			select {
			case s.ends <- end:
			default: // another one has arrived since
			}
		case <-ctx.Done():
		}
	})
	return ctx, func() { cancel(nil); watching.Wait() }
}

// untilEnd handles reload signals and settings updates, one at a time, until a signal to end arrives. If several are
// pending, the signal to end has precedence. updates may be nil, for a program without settings updates.
func untilEnd(s *Signals, updates <-chan settingsUpdate, reload func(), apply func(settingsUpdate)) {
	for {
		select {
		case <-s.ends:
			return
		default:
		}
		select {
		case <-s.ends:
			return
		case <-s.reloads:
			reload()
		case u := <-updates:
			apply(u)
		}
	}
}
