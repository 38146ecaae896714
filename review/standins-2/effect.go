package main

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

func init() { cases["effect"] = effectTightened }

// effectTightened: a new configuration gives a class a stricter effect: its parts may not run twice from then on.
// Connections are reset under parts that have run. None of these parts may be sent again.
func effectTightened(b *bench) (broken bool, err error) {
	guarded, single := claimUpdate, claimUpdate
	single.repeat = "single_shot"
	free := hazardReport
	free.repeat = "free"
	for _, change := range []struct {
		name     string
		old, new classSettings
		stretch  bool // the old settings give the class aim_stretch, the new ones don't
	}{
		{"guarded-to-single", guarded, single, false},
		{"free-to-single", free, hazardReport, true},
	} {
		again, err := b.effectChange(change.name, change.old, change.new, change.stretch)
		if err != nil {
			return false, err
		}
		b.rec.add("%s: %d parts were sent again though they may have run", change.name, again)
		broken = broken || again > 0
	}
	return broken, nil
}

// effectChange plays one change of settings and returns how many parts were sent again against the class's effect.
func (b *bench) effectChange(name string, old, next classSettings, stretch bool) (again int, err error) {
	r := ring{3, 3, 6}
	var mu sync.Mutex
	first := map[string]time.Time{} // when the first attempt of a part was taken
	runs := map[string]int{}
	late := 0 // attempts after the window for repeats
	script := func(at *attempt) {
		mu.Lock()
		runs[at.id]++
		number := runs[at.id]
		if number == 1 {
			first[at.id] = at.at
		} else if at.at.Sub(first[at.id]) > time.Duration(old.windowMS)*time.Millisecond+50*time.Millisecond {
			late++
		}
		mu.Unlock()
		b.rec.add("%s: runs %s, run %d of it", at.conn.node.name, at.id, number)
		time.Sleep(30 * time.Millisecond)
		if number > 1 {
			at.answer("S", valueOf(at.id))
			return
		}
		b.rec.add("%s: the connection is reset under %s", at.conn.node.name, at.id)
		at.conn.Conn.(*net.TCPConn).SetLinger(0)
		at.conn.Close()
	}
	_, list, err := b.startNodes(r, script)
	if err != nil {
		return 0, err
	}
	before, after := settings(r, routeLookup, old), settings(r, routeLookup, next)
	if stretch {
		before["classes"].([]any)[1].(map[string]any)["aim_stretch"] = 0.5
	}
	c, config, err := b.startOnPlatform(name, list, before)
	if err != nil {
		return 0, err
	}
	time.Sleep(1200 * time.Millisecond)
	if b.trouble {
		config["settings"] = after
		if err := writeJSON(c.config, config); err != nil {
			return 0, err
		}
		b.rec.add("the new configuration makes %s %s", next.name, next.repeat)
		c.signal(syscall.SIGHUP)
	}
	time.Sleep(1500 * time.Millisecond)
	const requests = 4
	for i := range requests {
		q := request{id: fmt.Sprintf("%s-%d", name, i), class: old.name, budget: 3 * time.Second, shards: []int{i},
			key: fmt.Sprintf("5c0f6e1a2b3d4c59a8b7c6d5e4f3021%d", i)}
		ask(b.rec, c.listen, q)
	}
	mu.Lock()
	defer mu.Unlock()
	if len(runs) == 0 {
		b.rec.add("%s: no part of %s was sent", name, old.name)
	}
	if !b.trouble { // the old effect holds: a repeat is allowed, in a guarded class within its window
		if old.repeat != "guarded" {
			return 0, nil
		}
		return late, nil
	}
	for _, n := range runs {
		if n > 1 {
			again++
		}
	}
	return again, nil
}
