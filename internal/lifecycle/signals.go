package lifecycle

import (
	"os"
	"os/signal"
	"syscall"
)

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
