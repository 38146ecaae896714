package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

func init() { cases["ban"] = banForgotten }

// banForgotten: a release fails; its new versions are killed beside the process that serves. Then operators take a node
// out, and the next version takes over. The node may get nothing until it is called back.
func banForgotten(b *bench) (broken bool, err error) {
	h, err := b.newHost(1, 1)
	if err != nil {
		return false, err
	}
	old, door, err := h.start("old", 100)
	if err != nil {
		return false, err
	}
	h.startClient()
	defer h.endClient()
	if b.trouble {
		for i := range 5 {
			failed, _, err := h.start(fmt.Sprintf("failed%d", i), i+1)
			if err != nil {
				return false, err
			}
			time.Sleep(500 * time.Millisecond)
			failed.signal(syscall.SIGKILL)
			<-failed.ended
			time.Sleep(200 * time.Millisecond)
		}
	}
	out := h.nodes[1]
	answer := call(door, "maint-on "+out.name)
	yes := time.Now()
	b.rec.add("maint-on %s at %s: %s", out.name, old.name, answer)
	if !strings.HasPrefix(answer, "200") {
		return false, fmt.Errorf("maint-on was answered with %s", answer)
	}
	time.Sleep(3 * time.Second)
	started := time.Now()
	if _, _, err = h.start("new", 50); err != nil {
		return false, err
	}
	if os.Getenv("TERM_LATE") != "" { // as if the platform always let the 6 s pass
		time.Sleep(time.Until(started.Add(6 * time.Second)))
	}
	time.Sleep(100 * time.Millisecond)
	old.signal(syscall.SIGTERM)
	time.Sleep(time.Until(started.Add(10 * time.Second)))
	// 1 s of grace, 50 ms more on sockets, 0.15 s for a process that is held up.
	late, limit := 0, yes.Add(1200*time.Millisecond)
	var last time.Time
	for _, at := range out.attempts() {
		if at.at.After(limit) {
			late++
			last = at.at
		}
	}
	if late > 0 {
		b.rec.add("%s got %d parts after it was taken out, the last %.3f s after the yes", out.name, late, last.Sub(yes).Seconds())
	} else {
		b.rec.add("%s got no part after it was taken out", out.name)
	}
	return late > 0, nil
}
