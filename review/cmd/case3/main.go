// Command case3 has a crowded discovery fail the calls of a coordinator of a large fleet, and a map node drain.
package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"review/kit"
)

const (
	calm    = 3 * time.Second  // before the crowd
	before  = 2 * time.Second  // from the beginning of the crowd to the drain
	crowded = 20 * time.Second // how long the crowd lasts
	turn    = 2 * time.Second  // how long a call waits until it fails
	after   = 4 * time.Second  // watched after its end
	told    = 6 * time.Second  // from the drain to when it counts as told at the latest
	grace   = time.Second      // stop_sending_within_us
	slack   = 50 * time.Millisecond
)

func main() {
	c := kit.Start(os.Args[1])
	var mu sync.Mutex
	var drainedAt time.Time
	count, statuses := map[string]int{}, map[int]int{}
	late, last := 0, time.Duration(0)
	var entries []kit.Entry
	for i := range 3 {
		n := c.StartNode(&kit.Node{Name: fmt.Sprintf("s-%d", i), Serve: func(p kit.Part, answer func(string, string)) {
			mu.Lock()
			count[p.Node]++
			if p.Node == "s-0" && !drainedAt.IsZero() {
				since, note := p.Arrived.Sub(drainedAt), ""
				if since > told+grace+slack {
					late++
					last, note = since, ", TOO LATE"
				}
				c.Note("part %s to s-0, %.3f s after it began to drain%s", p.ID, since.Seconds(), note)
			}
			mu.Unlock()
			time.AfterFunc(20*time.Millisecond, func() { answer("S", "v") })
		}})
		entries = append(entries, kit.Entry{Name: n.Name, Address: n.Address, Zone: "sapporo-room", Type: "small-2core",
			Group: i, Status: "in_service", Weight: 1})
	}
	discovery := c.StartDiscovery("discovery", "", 41, entries)
	listen := c.FreeAddress()
	settings := strings.Replace(kit.Settings, `"balancers": 2, "me": 0`, `"balancers": 100, "me": 7`, 1)
	config := c.Write("config.json", kit.Config(listen, discovery.Address, "", settings,
		kit.List{Index: 41, Snapshot: true, Endpoints: entries}))
	p := c.Run("harepass", c.Site("site", nil), "exec bin/harepass serve", "PROXY_CONFIG="+config)
	client := kit.NewClient(listen)
	c.Await("readiness", 20*time.Second, client.Ready)
	c.Await("its watch", 20*time.Second, func() bool { return discovery.Told(41) })

	stop := make(chan struct{})
	var sending sync.WaitGroup
	sending.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			sending.Go(func() {
				answer := client.Do(kit.Query{ID: fmt.Sprintf("%016x", i+1), Class: "route-lookup", Tenant: "kitakaze",
					Budget: 3 * time.Second, Shards: []int{0, 2, 4}})
				mu.Lock()
				statuses[answer.Status]++
				mu.Unlock()
			})
		}
	})
	others := 0
	sending.Go(func() { // another coordinator of the fleet, which discovery answers all the time
		for {
			select {
			case <-stop:
				return
			case <-time.After(500 * time.Millisecond):
			}
			if l, ok := discovery.Ask(); ok {
				others++
				c.Note("another coordinator is answered, index %d", l.Index)
			}
		}
	})
	time.Sleep(calm)
	if c.Trouble {
		discovery.Crowd(turn, false)
		discovery.ResetWatches()
	}
	time.Sleep(before)
	at := discovery.Set("s-0", "terminating")
	mu.Lock()
	drainedAt = at
	mu.Unlock()
	time.Sleep(crowded - before)
	discovery.Crowd(0, true)
	time.Sleep(after)
	close(stop)
	sending.Wait()
	c.CopyLog(p, 6000)
	c.Say("answers %v, parts by node %v, others answered %d times", statuses, count, others)
	switch {
	case p.Ended():
		c.Fail("the coordinator has ended by itself, which is not what this case is about")
	case statuses[200] < 40 || count["s-0"] < 10 || others < 30:
		c.Fail("too little traffic")
	case late > 0:
		c.Say("BROKEN: %d parts were sent to s-0 later than %v after it began to drain, the last %.1f s after", late,
			told+grace+slack, last.Seconds())
		c.End(kit.Broken)
	}
	c.Say("held: nothing was sent to s-0 later than %v after it began to drain", told+grace+slack)
	c.End(kit.Held)
}
