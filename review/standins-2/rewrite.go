package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

func init() { cases["rewrite"] = inventoryRewritten }

// inventoryRewritten: a tool rewrites the inventory in place, in two writes; a SIGHUP comes between them. No part may
// reach a node that does not hold its shard.
func inventoryRewritten(b *bench) (broken bool, err error) {
	r := ring{12, 3, 12}
	nodes, _, err := b.startNodes(r, func(at *attempt) {
		time.Sleep(10 * time.Millisecond)
		at.answer("S", valueOf(at.id))
	})
	if err != nil {
		return false, err
	}
	text := "name,address,port,cell\n"
	for _, n := range nodes {
		text += fmt.Sprintf("%s,127.0.0.1,%s,%d\n", n.name, n.port(), n.group)
	}
	c, listen, err := b.startWithInventory("nodes.csv", text, settings(r, routeLookup, hazardReport, conditions))
	if err != nil {
		return false, err
	}
	time.Sleep(1200 * time.Millisecond)
	for i := range 5 {
		search(b.rec, listen, fmt.Sprintf("before-%d", i), 4*time.Second)
	}
	pause := 500 * time.Millisecond
	cut := len(text) - len("1\n") // within the last row's cell, 11
	if !b.trouble {
		cut = len(text) // written whole before the SIGHUP
	}
	f, err := os.OpenFile(filepath.Join(b.folder, "nodes.csv"), os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return false, err
	}
	defer f.Close()
	f.WriteString(text[:cut])
	b.rec.add("the inventory is being rewritten with the same nodes; its last line so far is %q", lastLine(text[:cut]))
	c.signal(syscall.SIGHUP)
	for end, i := time.Now().Add(pause), 0; time.Now().Before(end); i++ {
		search(b.rec, listen, fmt.Sprintf("meanwhile-%d", i), 4*time.Second)
	}
	f.WriteString(text[cut:])
	b.rec.add("the rewriting is done")
	c.signal(syscall.SIGHUP)
	time.Sleep(300 * time.Millisecond)
	search(b.rec, listen, "after", 4*time.Second)
	foreign := 0
	for _, n := range nodes {
		for _, at := range n.attempts() {
			if !r.holds(n.group, at.shard) {
				foreign++
				b.rec.add("%s, group %d, got part %s of shard %d, which it does not hold", n.name, n.group, at.id, at.shard)
			}
		}
	}
	b.rec.add("%d parts reached a node that does not hold their shard", foreign)
	return foreign > 0, nil
}

// lastLine returns the last line of a text, complete or not.
func lastLine(text string) string {
	lines := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
	return lines[len(lines)-1]
}
