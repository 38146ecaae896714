// Command case3 crowds discovery behind an authority, and then has a map node drain.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"review/kit"
)

const (
	calm    = 3 * time.Second         // before the crowd
	turn    = 1200 * time.Millisecond // how long a call waits for its turn; each is served
	before  = 3 * time.Second         // from the beginning of the crowd to the drain
	crowded = 20 * time.Second        // how long the crowd lasts
	after   = 4 * time.Second         // watched after its end
	told    = 6 * time.Second         // from the drain to when it counts as told at the latest
	grace   = time.Second             // stop_sending_within_us
	slack   = 50 * time.Millisecond
)

// coordinator is a coordinator with map nodes' addresses of its own, so that its parts can be told from others.
type coordinator struct {
	c    *kit.Case
	name string

	mu        sync.Mutex
	entries   []kit.Entry
	drainedAt time.Time
	count     map[string]int
	statuses  map[int]int
	late      int
	last      time.Duration
	proc      *kit.Proc
	client    *kit.Client
}

func newCoordinator(c *kit.Case, name string) *coordinator {
	o := &coordinator{c: c, name: name, count: map[string]int{}, statuses: map[int]int{}}
	for i := range 3 {
		n := c.StartNode(&kit.Node{Name: fmt.Sprintf("s-%d", i), Serve: o.serve})
		o.entries = append(o.entries, kit.Entry{Name: n.Name, Address: n.Address, Zone: "sapporo-room",
			Type: "small-2core", Group: i, Status: "in_service", Weight: 1})
	}
	return o
}

func (o *coordinator) serve(p kit.Part, answer func(end, value string)) {
	o.mu.Lock()
	o.count[p.Node]++
	if p.Node == "s-0" && !o.drainedAt.IsZero() {
		since, note := p.Arrived.Sub(o.drainedAt), ""
		if since > told+grace+slack {
			o.late++
			o.last, note = since, ", TOO LATE"
		}
		o.c.Note("%s: part %s to s-0, %.3f s after it began to drain%s", o.name, p.ID, since.Seconds(), note)
	}
	o.mu.Unlock()
	time.AfterFunc(20*time.Millisecond, func() { answer("S", "v") })
}

// start starts the coordinator at a site.
func (o *coordinator) start(site, discovery string) {
	listen := o.c.FreeAddress()
	config := o.c.Write(o.name+".json", kit.Config(listen, discovery, "", kit.Settings,
		kit.List{Index: 41, Snapshot: true, Endpoints: o.entries}))
	o.proc = o.c.Run(o.name, site, "exec bin/harepass serve", "PROXY_CONFIG="+config)
	o.client = kit.NewClient(listen)
}

// send sends ten lookups a second until stop is closed.
func (o *coordinator) send(stop chan struct{}) {
	var open sync.WaitGroup
	defer open.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		open.Go(func() {
			answer := o.client.Do(kit.Query{ID: fmt.Sprintf("%016x", i+1), Class: "route-lookup", Tenant: "kitakaze",
				Budget: 3 * time.Second, Shards: []int{0, 2, 4}})
			o.mu.Lock()
			o.statuses[answer.Status]++
			o.mu.Unlock()
		})
	}
}

func main() {
	c := kit.Start(os.Args[1])
	// Both coordinators have the same map nodes by name; each reaches them at addresses of its own. One is told the list
	// by a relay and an authority, the other asks discovery itself and shows that this can be done in time.
	relayed, plain := newCoordinator(c, "relayed"), newCoordinator(c, "plain")
	discovery := c.StartDiscovery("discovery", "", 41, relayed.entries)
	discoveryOfPlain := c.StartDiscovery("discovery as plain sees it", "", 41, plain.entries)
	authority, relay := c.FreeAddress(), c.FreeAddress()
	site := c.Site("site", map[string]string{
		"distribution.yaml": fmt.Sprintf("sources:\n  - {address: %q}\nresources: [nodes]\n", relay),
		"authority.yaml":    fmt.Sprintf("listen: %s\nauthority:\n  discovery: %s\n", authority, discovery.Address),
		"relay.yaml":        fmt.Sprintf("listen: %s\nsources:\n  - {address: %q}\n", relay, authority),
	})
	a := c.Run("authority", site, "exec bin/harepass relay -config deploy/authority.yaml")
	r := c.Run("relay", site, "exec bin/harepass relay -config deploy/relay.yaml")
	relayed.start(site, discovery.Address)
	plain.start(c.Site("plain-site", nil), discoveryOfPlain.Address)
	c.Await("readiness", 15*time.Second, func() bool { return relayed.client.Ready() && plain.client.Ready() })

	stop := make(chan struct{})
	var sending sync.WaitGroup
	for _, o := range []*coordinator{relayed, plain} {
		sending.Go(func() { o.send(stop) })
	}
	time.Sleep(calm)
	both := []*kit.Discovery{discovery, discoveryOfPlain}
	if c.Trouble {
		for _, d := range both {
			d.Crowd(turn, true)
			d.ResetWatches()
		}
	}
	time.Sleep(before)
	for i, o := range []*coordinator{relayed, plain} {
		at := both[i].Set("s-0", "terminating")
		o.mu.Lock()
		o.drainedAt = at
		o.mu.Unlock()
	}
	time.Sleep(crowded - before)
	for _, d := range both {
		d.Crowd(0, true)
	}
	time.Sleep(after)
	close(stop)
	sending.Wait()
	for _, x := range []*kit.Proc{a, r, relayed.proc, plain.proc} {
		c.CopyLog(x, 6000)
		if x.Ended() {
			c.Fail("%s has ended", x.Name)
		}
	}
	for _, o := range []*coordinator{relayed, plain} {
		c.Say("%s: answers %v, parts by node %v, too late %d", o.name, o.statuses, o.count, o.late)
		if o.statuses[200] < 50 || o.count["s-0"] < 10 {
			c.Fail("too little traffic")
		}
	}
	if plain.late > 0 {
		c.Fail("the coordinator that asks discovery itself was too late as well: the stand-in is unfair")
	}
	if relayed.late > 0 {
		c.Say("BROKEN: %d parts were sent to s-0 later than %v after it began to drain, the last %.1f s after",
			relayed.late, told+grace+slack, relayed.last.Seconds())
		c.End(kit.Broken)
	}
	c.Say("held: nothing was sent to s-0 later than %v after it began to drain", told+grace+slack)
	c.End(kit.Held)
}
