package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// ready is how long a coordinator may need until it is ready.
const ready = 10 * time.Second

// startNodes starts one data node for each position of a ring.
func (b *bench) startNodes(r ring, script func(*attempt)) (nodes []*node, list []endpoint, err error) {
	for i := range r.positions {
		n, err := startNode(b.rec, fmt.Sprintf("node%02d", i), i, script)
		if err != nil {
			return nil, nil, err
		}
		nodes, list = append(nodes, n), append(list, n.entry())
	}
	return nodes, list, nil
}

// startOnPlatform starts discovery and a coordinator as the platform does, and waits until it is ready.
func (b *bench) startOnPlatform(name string, list []endpoint, settings map[string]any) (*coordinator, map[string]any, error) {
	d, err := startDiscovery(b.rec, list)
	if err != nil {
		return nil, nil, err
	}
	listen, err := freeAddress()
	if err != nil {
		return nil, nil, err
	}
	config := platformConfig(name, listen, d.address, settings)
	c, err := b.start(startOptions{name: name, config: config})
	if err != nil {
		return nil, nil, err
	}
	return c, config, waitReady(listen, "/health/ready", ready)
}

// startWithInventory starts a coordinator that has its nodes from an inventory and serves the OpenSearch-style front.
// It returns the address of that front.
func (b *bench) startWithInventory(inventory, text string, settings map[string]any) (*coordinator, string, error) {
	if err := os.WriteFile(filepath.Join(b.folder, inventory), []byte(text), 0o600); err != nil {
		return nil, "", err
	}
	if err := writeJSON(filepath.Join(b.folder, "settings.json"), settings); err != nil {
		return nil, "", err
	}
	listen, err := freeAddress()
	if err != nil {
		return nil, "", err
	}
	file := filepath.Join(b.folder, "opensearch.yaml")
	front := fmt.Sprintf("listen: %s\ninventory: %s\nsettings: settings.json\nsection_field: section\nall: conditions\n"+
		"indices:\n  conditions:\n    class: conditions-summary\n", listen, inventory)
	if err := os.WriteFile(file, []byte(front), 0o600); err != nil {
		return nil, "", err
	}
	c, err := b.start(startOptions{name: "n1", args: " -opensearch " + file})
	if err != nil {
		return nil, "", err
	}
	c.listen = listen
	return c, listen, waitReady(listen, "/_cluster/health", ready)
}

// port returns the port of a node.
func (n *node) port() string {
	_, port, _ := net.SplitHostPort(n.address)
	return port
}

// holds reports whether a node in a group holds a shard.
func (r ring) holds(group, shard int) bool {
	return ((group-shard)%r.positions+r.positions)%r.positions < r.reach
}

// search sends a search of all sections on a connection of its own and returns the answer.
func search(rec *record, address, name string, limit time.Duration) reply {
	c, err := dialClient(address)
	if err != nil {
		return reply{err: err, at: time.Now()}
	}
	defer c.Close()
	rec.add("client: search %s sent", name)
	if _, err := fmt.Fprintf(c, "GET /conditions/_search HTTP/1.1\r\nHost: backend.local\r\nX-Opaque-Id: kitakaze-app\r\n\r\n"); err != nil {
		return reply{err: err, at: time.Now()}
	}
	r := c.receive(time.Now().Add(limit))
	if short := strings.TrimSpace(r.body); len(short) > 120 {
		r.body = short[:120] + "..."
	}
	rec.add("client: search %s: %v", name, r)
	return r
}
