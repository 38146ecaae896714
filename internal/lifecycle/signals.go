package lifecycle

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals are those that a program handles. Ends and reloads have a channel each: a full channel drops a signal, and
// reloads, however many, must not crowd out the end.
type Signals struct {
	ends    chan os.Signal // SIGTERM and SIGINT, which are handled alike
	reloads chan os.Signal // SIGHUP; while one waits, further ones are dropped, since one reload does for all
}

// NotifySignals takes the signals from now on. It is to be called once, before anything that lasts.
func NotifySignals() *Signals {
	s := newSignals()
	signal.Notify(s.ends, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reloads, syscall.SIGHUP)
	return s
}

// newSignals returns signals that nothing sends yet.
func newSignals() *Signals {
	return &Signals{make(chan os.Signal, 1), make(chan os.Signal, 1)}
}

// untilEnd handles reloads and updates of settings, one after the other, until a signal to end comes. Where several
// are there, the end goes first. A nil channel of updates brings none.
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
