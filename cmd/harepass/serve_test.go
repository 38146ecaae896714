package main

import (
	"net"
	"strings"
	"syscall"
	"testing"

	"harepass/internal/logmsg"
	"harepass/internal/test/fake"
)

// bothFronts is a process with both fronts: replicas with frames come from discovery, and such with the OpenSearch API
// from an inventory.
type bothFronts struct {
	*program
	t                *testing.T
	write            func(name, text string) string
	platform, search string         // addresses of the fronts
	frames, api      *fake.Replicas // the replicas, which may be the same
	framesAt, apiAt  net.Listener
	discovery        net.Listener
}

// newBothFronts opens the listeners of the replicas and of discovery.
func newBothFronts(t *testing.T, frames, api *fake.Replicas) *bothFronts {
	return &bothFronts{t: t, frames: frames, api: api, write: fileWriter(t, t.TempDir()), platform: ownAddress(t),
		search: ownAddress(t), framesAt: listen(t), apiAt: listen(t), discovery: listen(t)}
}

// port is the port of a listener.
func port(l net.Listener) string {
	_, port, _ := net.SplitHostPort(l.Addr().String())
	return port
}

// start serves the replicas and discovery, and starts the process. indices are those of the OpenSearch front's file,
// and file makes the platform's.
func (b *bothFronts) start(indices string, file func(discovery net.Listener) string) {
	go b.frames.ServeFrames(b.framesAt)
	go b.api.ServeAPI(b.apiAt)
	go fake.ServeDiscovery(b.discovery, func() string { return oneEndpoint("f0", b.framesAt.Addr()) })
	b.write("nodes.csv", "name,address,port,cell,api\na0,127.0.0.1,"+port(b.apiAt)+",0,opensearch\n")
	front := b.write("front.yaml", "listen: "+b.search+"\ninventory: nodes.csv\nindices:\n"+indices)
	b.program = startProgram(b.t, []string{"PROXY_CONFIG=" + b.write("config.json", file(b.discovery)),
		"PROXY_LISTEN=" + b.platform, "PROXY_DISCOVERY=" + b.discovery.Addr().String()}, "serve", "-opensearch", front)
}

// platformFile is the platform's file with discovery at a listener and with settings.
func (b *bothFronts) platformFile(discovery net.Listener, settings any) string {
	return platformFile(b.t, map[string]any{"listen": b.platform, "discovery": discovery.Addr().String(),
		"settings": settings})
}

// The complete program on real loopback sockets, both fronts at once: frame replicas from discovery and API replicas
// from an inventory, a reload, a bad reload, and a SIGTERM that finds a query under way.
func TestBothFrontsThroughReloadsAndDrain(t *testing.T) {
	b := newBothFronts(t, &fake.Replicas{Script: slowAt(5)}, &fake.Replicas{Script: slowAt(5)})
	file := func(discovery net.Listener) string {
		return b.platformFile(discovery, polled(exampleSettings(t)))
	}
	b.start("  trails: {class: route-lookup}\n  hazards: {class: hazard-report, reports: true}\n", file)
	eventually(t, "ready", func() bool { return isReady(b.platform) })
	eventually(t, "discovery's list", func() bool {
		return query(t, b.platform, 0, 1) == 200 && len(b.frames.Received()) > 0
	})
	json := map[string]string{"Content-Type": "application/json"}
	search := `{"query":{"range":{"section":{"lt":5}}}}`
	status, body := post(t, "http://"+b.search+"/trails/_search", search, json)
	if status != 200 || !strings.Contains(body, `"timed_out":false`) {
		t.Errorf("search: %d %s", status, body)
	}
	if status, body := post(t, "http://"+b.search+"/hazards/_doc", `{"section":2}`, json); status != 201 {
		t.Errorf("report: %d %s", status, body)
	}
	b.reloadInventory()
	current := b.moveDiscovery(file)
	b.drainWithOpenQuery(current)
}

// reloadInventory checks that a bad file leaves the list in force, and that a good one without the API replica drains
// that replica.
func (b *bothFronts) reloadInventory() {
	b.write("nodes.csv", "name,address,port,cell\na0,127.0.0.1,none,0\n")
	b.Process.Signal(syscall.SIGHUP)
	eventually(b.t, "a rejected reload", func() bool { return b.logged("nodes.csv:2: host a0: port") })
	b.write("nodes.csv", "name,address,port,cell,api\nf1,127.0.0.1,"+port(b.framesAt)+",0,frame\n")
	b.Process.Signal(syscall.SIGHUP)
	eventually(b.t, "a reload", func() bool { return b.logged(logmsg.InventoryReloaded) })
	for range 3 { // queries that are sent after the reload is known to be taken over
		query(b.t, b.platform, 0)
	}
	before := len(b.api.Received())
	for range 5 {
		if status := query(b.t, b.platform, 0, 1, 2); status != 200 {
			b.t.Errorf("after the reload: %d", status)
		}
	}
	if n := len(b.api.Received()) - before; n > 0 {
		b.t.Errorf("a drained replica was sent %d parts", n)
	}
}

// moveDiscovery checks that a bad configuration changes nothing, and that a good one moves discovery to where it says,
// the variable notwithstanding. What the new list does not name gets nothing more, though its index is lower. The
// replica of the new list is returned.
func (b *bothFronts) moveDiscovery(file func(discovery net.Listener) string) *fake.Replicas {
	b.write("config.json", "{")
	b.Process.Signal(syscall.SIGHUP)
	eventually(b.t, "a rejected configuration", func() bool { return b.logged("config.json: unexpected end") })
	moved, moveTo, movedAt := &fake.Replicas{Script: slowAt(5)}, listen(b.t), listen(b.t)
	go moved.ServeFrames(movedAt)
	go fake.ServeDiscovery(moveTo, func() string {
		return strings.Replace(oneEndpoint("f2", movedAt.Addr()), `"index":1`, `"index":0`, 1)
	})
	b.write("nodes.csv", "name,address,port,cell,api\n")
	b.write("config.json", file(moveTo))
	b.Process.Signal(syscall.SIGHUP)
	eventually(b.t, "discovery's move", func() bool {
		return query(b.t, b.platform, 0) == 200 && len(moved.Received()) > 0
	})
	before := len(b.frames.Received())
	for range 5 {
		if status := query(b.t, b.platform, 0, 1, 2); status != 200 || len(b.frames.Received()) > before {
			b.t.Errorf("after the move: %d, %d parts to a replica that is gone", status, len(b.frames.Received())-before)
		}
	}
	return moved
}

// drainWithOpenQuery checks that a query under way at SIGTERM is answered, one that comes right after it too, and that
// readiness fails meanwhile.
func (b *bothFronts) drainWithOpenQuery(replica *fake.Replicas) {
	slow := make(chan int)
	count := len(replica.Received())
	go func() { slow <- query(b.t, b.platform, 5) }()
	eventually(b.t, "a query under way", func() bool { return len(replica.Received()) > count })
	b.Process.Signal(syscall.SIGTERM)
	eventually(b.t, "draining", func() bool { return getStatus("http://"+b.platform+"/health/ready") == 503 })
	if status := query(b.t, b.platform, 0); status != 200 {
		b.t.Errorf("just after SIGTERM: %d", status)
	}
	if status := <-slow; status != 200 {
		b.t.Errorf("under way at SIGTERM: %d", status)
	}
	if err := b.Wait(); err != nil {
		b.t.Errorf("exit: %v\n%s", err, b.log)
	}
	if getStatus("http://"+b.platform+"/health/live") != 0 {
		b.t.Error("still listening")
	}
}
