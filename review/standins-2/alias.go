package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

func init() { cases["alias"] = inventoryAlias }

// inventoryAlias: an inventory with a typing mistake, a group that names itself among its children, is read on SIGHUP
// while searches are under way. The coordinator has to serve on with the nodes that it has.
func inventoryAlias(b *bench) (broken bool, err error) {
	r := ring{3, 3, 6}
	nodes, _, err := b.startNodes(r, func(at *attempt) {
		time.Sleep(600 * time.Millisecond)
		at.answer("S", valueOf(at.id))
	})
	if err != nil {
		return false, err
	}
	inventory := func(spare string) string {
		text := "all:\n  vars:\n    harepass_zone: sapporo-room\n  children:\n    map_nodes: &map_nodes\n      hosts:\n"
		for _, n := range nodes {
			text += fmt.Sprintf("        %s: {ansible_host: 127.0.0.1, harepass_port: %s, harepass_cell: %d}\n", n.name, n.port(), n.group)
		}
		text += "      children:\n        spare_nodes: " + spare + "\n"
		return text
	}
	c, listen, err := b.startWithInventory("nodes.yml", inventory("{}"), settings(r, routeLookup, hazardReport, conditions))
	if err != nil {
		return false, err
	}
	time.Sleep(1200 * time.Millisecond)
	if r := search(b.rec, listen, "before", 4*time.Second); r.status != 200 {
		return false, fmt.Errorf("the search before the change: %v", r)
	}
	underWay := make(chan reply)
	go func() { underWay <- search(b.rec, listen, "under way", 5500*time.Millisecond) }()
	time.Sleep(200 * time.Millisecond)
	spare := "{}"
	if b.trouble {
		spare = "*map_nodes"
	}
	b.rec.add("the inventory is written again, with the line: spare_nodes: %s", spare)
	if err := os.WriteFile(filepath.Join(b.folder, "nodes.yml"), []byte(inventory(spare)), 0o600); err != nil {
		return false, err
	}
	c.signal(syscall.SIGHUP)
	lost := 0
	// A search is given up after 5 s, the class's deadline. Up to half a second later an answer still counts as one.
	if r := <-underWay; r.err != nil {
		lost++
	}
	for i := range 3 {
		if r := search(b.rec, listen, fmt.Sprintf("after-%d", i), 5500*time.Millisecond); r.err != nil {
			lost++
		}
		time.Sleep(time.Second)
	}
	for end := time.Now().Add(10 * time.Second); b.trouble && !c.hasEnded() && time.Now().Before(end); {
		time.Sleep(100 * time.Millisecond)
	}
	b.rec.add("searches without a final answer: %d; the coordinator has ended: %v", lost, c.hasEnded())
	return c.hasEnded() || lost > 0, nil
}
