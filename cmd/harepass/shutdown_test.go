package main

import (
	"slices"
	"syscall"
	"testing"

	"harepass/internal/logmsg"
)

// SIGTERM comes before a process is ready, alone or amid many reloads, while discovery says nothing. The process ends
// without a fault: waiting for a list must not delay the end, and reloads must not crowd it out.
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
			eventually(t, "a listener", func() bool { return p.logged(logmsg.ListenerOpened) })
			for _, sig := range signals {
				p.Process.Signal(sig)
			}
			if err := p.Wait(); err != nil || !p.logged(logmsg.CoordinatorStopped) {
				t.Errorf("the end: %v\n%s", err, p.log)
			}
		})
	}
}
