package main

import (
	"slices"
	"syscall"
	"testing"

	"harepass/internal/logmsg"
)

// A process that is not ready yet receives SIGTERM, alone or among many reload signals, while discovery sends no
// answer. The process ends without an error: waiting for a list must not delay the shutdown, and many reloads must not
// starve it.
func TestEndsBeforeReady(t *testing.T) {
	for name, signals := range map[string][]syscall.Signal{
		"end":          {syscall.SIGTERM},
		"reload, end":  {syscall.SIGHUP, syscall.SIGTERM},
		"end, reload":  {syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP},
		"many reloads": append(slices.Repeat([]syscall.Signal{syscall.SIGHUP}, 200), syscall.SIGTERM),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newLimitedProcess(t, 96, 0)
			p.start([]byte(emptyList), listen(t).Addr().String())
			eventually(t, "the process listens", func() bool { return p.logged(logmsg.ListenerOpened) })
			for _, sig := range signals {
				p.Process.Signal(sig)
			}
			if err := p.Wait(); err != nil || !p.logged(logmsg.CoordinatorStopped) {
				t.Errorf("exit after SIGTERM: %v\n%s", err, p.log)
			}
		})
	}
}
