package main

import (
	"net"
	"strings"
	"syscall"
	"testing"

	"harepass/internal/logmsg"
	"harepass/internal/test/fake"
)

// bothFronts is a process with both fronts: it gets frame replicas from discovery, and replicas with the OpenSearch API
// from an inventory.
type bothFronts struct {
	*program
	t                *testing.T
	write            func(name, text string) string
	platform, search string         // addresses of the fronts
	frames, api      *fake.Replicas // the two kinds of replicas, which may be the same object
	framesAt, apiAt  net.Listener
	discovery        net.Listener
}

// newBothFronts opens the listeners of the replicas and of discovery, but starts nothing.
func newBothFronts(t *testing.T, frames, api *fake.Replicas) *bothFronts {
	return &bothFronts{t: t, frames: frames, api: api, write: fileWriter(t, t.TempDir()), platform: ownAddress(t),
		search: ownAddress(t), framesAt: listen(t), apiAt: listen(t), discovery: listen(t)}
}

// port returns the port of a listener.
func port(l net.Listener) string {
	_, port, _ := net.SplitHostPort(l.Addr().String())
	return port
}

// start serves the replicas and discovery, and starts the process. indices is the text of the indices in the OpenSearch
// front's file, and file returns the platform's file.
func (b *bothFronts) start(indices string, file func(discovery net.Listener) string) {
	go b.frames.ServeFrames(b.framesAt)
	go b.api.ServeAPI(b.apiAt)
	go fake.ServeDiscovery(b.discovery, func() string { return oneEndpoint("f0", b.framesAt.Addr()) })
	b.write("nodes.csv", "name,address,port,cell,api\na0,127.0.0.1,"+port(b.apiAt)+",0,opensearch\n")
	front := b.write("front.yaml", "listen: "+b.search+"\ninventory: nodes.csv\nindices:\n"+indices)
	b.program = startProgram(b.t, []string{"PROXY_CONFIG=" + b.write("config.json", file(b.discovery)),
		"PROXY_LISTEN=" + b.platform, "PROXY_DISCOVERY=" + b.discovery.Addr().String()}, "serve", "-opensearch", front)
}

// platformFile returns the platform's file with the address of a discovery and with settings.
func (b *bothFronts) platformFile(discovery net.Listener, settings any) string {
	return platformFile(b.t, map[string]any{"listen": b.platform, "discovery": discovery.Addr().String(),
		"settings": settings})
}

// The complete program runs on real loopback sockets with both fronts: frame replicas from discovery and API replicas
// from an inventory. It goes through reloads, rejected reloads, and a SIGTERM while a query is open.
func TestBothFrontsThroughReloadsAndDrain(t *testing.T) {
	b := newBothFronts(t, &fake.Replicas{Script: slowAt(5)}, &fake.Replicas{Script: slowAt(5)})
	file := func(discovery net.Listener) string {
		return b.platformFile(discovery, withPolling(exampleSettings(t)))
	}
	b.start("  trails: {class: route-lookup}\n  hazards: {class: hazard-report, reports: true}\n", file)
	eventually(t, "the process is ready", func() bool { return isReady(b.platform) })
	eventually(t, "a replica of discovery's list serves", func() bool {
		return query(t, b.platform, 0, 1) == 200 && len(b.frames.Received()) > 0
	})
	json := map[string]string{"Content-Type": "application/json"}
	search := `{"query":{"range":{"section":{"lt":5}}}}`
	status, body := post(t, "http://"+b.search+"/trails/_search", search, json)
	if status != 200 || !strings.Contains(body, `"timed_out":false`) {
		t.Errorf("search: status %d, answer %s", status, body)
	}
	if status, body := post(t, "http://"+b.search+"/hazards/_doc", `{"section":2}`, json); status != 201 {
		t.Errorf("report: status %d, answer %s", status, body)
	}
	b.reloadInventory()
	current := b.moveDiscovery(file)
	b.drainWithOpenQuery(current)
}

// reloadInventory checks that an invalid inventory leaves the list in force, and that a valid one without the API
// replica drains that replica.
func (b *bothFronts) reloadInventory() {
	b.write("nodes.csv", "name,address,port,cell\na0,127.0.0.1,none,0\n")
	b.Process.Signal(syscall.SIGHUP)
	eventually(b.t, "the inventory is rejected", func() bool { return b.logged("nodes.csv:2: host a0: port") })
	b.write("nodes.csv", "name,address,port,cell,api\nf1,127.0.0.1,"+port(b.framesAt)+",0,frame\n")
	b.Process.Signal(syscall.SIGHUP)
	eventually(b.t, "the inventory is reloaded", func() bool { return b.logged(logmsg.InventoryReloaded) })
	for range 3 { // queries sent after the reload is logged
		query(b.t, b.platform, 0)
	}
	before := len(b.api.Received())
	for range 5 {
		if status := query(b.t, b.platform, 0, 1, 2); status != 200 {
			b.t.Errorf("after the inventory reload: query status %d, want 200", status)
		}
	}
	if n := len(b.api.Received()) - before; n > 0 {
		b.t.Errorf("the drained replica received %d parts, want 0", n)
	}
}

// moveDiscovery checks that an invalid configuration changes nothing, and that a valid one moves discovery to the
// address in the file, although the variable has another one. Replicas that the new list lacks get no more parts, even
// though the new list's index is lower. moveDiscovery returns the replica of the new list.
func (b *bothFronts) moveDiscovery(file func(discovery net.Listener) string) *fake.Replicas {
	b.write("config.json", "{")
	b.Process.Signal(syscall.SIGHUP)
	eventually(b.t, "the configuration is rejected", func() bool { return b.logged("config.json: unexpected end") })
	moved, moveTo, movedAt := &fake.Replicas{Script: slowAt(5)}, listen(b.t), listen(b.t)
	go moved.ServeFrames(movedAt)
	go fake.ServeDiscovery(moveTo, func() string {
		return strings.Replace(oneEndpoint("f2", movedAt.Addr()), `"index":1`, `"index":0`, 1)
	})
	b.write("nodes.csv", "name,address,port,cell,api\n")
	b.write("config.json", file(moveTo))
	b.Process.Signal(syscall.SIGHUP)
	eventually(b.t, "the replica of the new discovery serves", func() bool {
		return query(b.t, b.platform, 0) == 200 && len(moved.Received()) > 0
	})
	before := len(b.frames.Received())
	for range 5 {
		if status := query(b.t, b.platform, 0, 1, 2); status != 200 || len(b.frames.Received()) > before {
			b.t.Errorf("after the move: %d, %d parts to the removed replica", status, len(b.frames.Received())-before)
		}
	}
	return moved
}

// drainWithOpenQuery checks that a query that is open at SIGTERM and a query that arrives right after it are both
// answered, and that the readiness check fails during the drain.
func (b *bothFronts) drainWithOpenQuery(replica *fake.Replicas) {
	slow := make(chan int)
	count := len(replica.Received())
	go func() { slow <- query(b.t, b.platform, 5) }()
	eventually(b.t, "a query is open", func() bool { return len(replica.Received()) > count })
	b.Process.Signal(syscall.SIGTERM)
	eventually(b.t, "readiness fails", func() bool { return getStatus("http://"+b.platform+"/health/ready") == 503 })
	if status := query(b.t, b.platform, 0); status != 200 {
		b.t.Errorf("query just after SIGTERM: status %d, want 200", status)
	}
	if status := <-slow; status != 200 {
		b.t.Errorf("query that was open at SIGTERM: status %d, want 200", status)
	}
	if err := b.Wait(); err != nil {
		b.t.Errorf("exit after SIGTERM: %v\n%s", err, b.log)
	}
	if getStatus("http://"+b.platform+"/health/live") != 0 {
		b.t.Error("the platform front still answers after the exit")
	}
}
