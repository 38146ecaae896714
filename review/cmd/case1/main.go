// Command case1 has a new version take over while discovery is crowded, and a map node drain meanwhile.
package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"review/kit"
)

const (
	bindsAfter = 2 * time.Second // from the new process's yes
	grace      = time.Second     // stop_sending_within_us
	slack      = 50 * time.Millisecond
	givenTime  = 6 * time.Second                      // for the new process to say yes
	killAfter  = 3*time.Second + 700*time.Millisecond // from SIGTERM to SIGKILL
	longest    = 2 * time.Second                      // a call that has waited that long fails
)

func main() {
	c := kit.Start(os.Args[1])
	var mu sync.Mutex
	var drainedAt, yesAt time.Time
	count := map[string]int{}
	late, lateLast := 0, time.Duration(0)
	var entries []kit.Entry
	for i := range 3 {
		n := c.StartNode(&kit.Node{Name: fmt.Sprintf("s-%d", i), Serve: func(p kit.Part, answer func(string, string)) {
			mu.Lock()
			count[p.Node]++
			if p.Node == "s-0" && !drainedAt.IsZero() {
				binds := drainedAt
				if yesAt.Add(bindsAfter).After(binds) {
					binds = yesAt.Add(bindsAfter)
				}
				over := p.Arrived.Sub(binds.Add(grace + slack))
				note := ""
				if over > 0 {
					late++
					lateLast = over
					note = fmt.Sprintf(", TOO LATE by %.3f s", over.Seconds())
				}
				c.Note("part %s to s-0, %.3f s after its drain was told%s", p.ID, p.Arrived.Sub(drainedAt).Seconds(), note)
			}
			mu.Unlock()
			time.AfterFunc(20*time.Millisecond, func() { answer("S", "v") })
		}})
		entries = append(entries, kit.Entry{Name: n.Name, Address: n.Address, Zone: "sapporo-room", Type: "small-2core",
			Group: i, Status: "in_service", Weight: 1})
	}
	discovery := c.StartDiscovery("discovery", "", 41, entries)
	clients := c.Listen().(*net.TCPListener)
	listen := clients.Addr().String()
	held, err := clients.File()
	if err != nil {
		c.Fail("%v", err)
	}
	null, err := os.Open(os.DevNull)
	if err != nil {
		c.Fail("%v", err)
	}
	files := []*os.File{null, held}
	tmp := filepath.Join(c.Tmp, "tmpdir")
	if err := os.Mkdir(tmp, 0o700); err != nil {
		c.Fail("%v", err)
	}
	site := c.Site("site", nil)
	known := kit.List{Index: 41, Snapshot: true, Endpoints: entries}
	start := func(name string) (*kit.Proc, string) {
		door := c.FreeAddress()
		config := c.Write(name+".json", kit.Config(listen, discovery.Address, door, kit.Settings, known))
		return c.RunWith(files, name, site, "exec bin/harepass serve", "PROXY_CONFIG="+config, "PROXY_FD=4",
			"PROXY_OPERATOR="+door, "TMPDIR="+tmp), door
	}
	old, oldDoor := start("old")
	c.Await("the old process's yes", 10*time.Second, func() bool { return kit.Yes(oldDoor, "status") })
	clients.Close() // the platform's own copy stays open in held

	statuses := map[int]int{}
	stop := make(chan struct{})
	var sending sync.WaitGroup
	sending.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(25 * time.Millisecond):
			}
			sending.Go(func() {
				// Each on a connection of its own, so that both processes get some.
				answer := kit.NewClient(listen).DoOnce(kit.Query{ID: fmt.Sprintf("%016x", i+1), Class: "route-lookup",
					Tenant: []string{"kitakaze", "shirakaba-yama"}[i%2], Budget: 3 * time.Second, Shards: []int{0, 2, 4}})
				mu.Lock()
				statuses[answer.Status]++
				mu.Unlock()
			})
		}
	})
	time.Sleep(3 * time.Second)
	if c.Trouble {
		discovery.Crowd(longest, false)
	}
	time.Sleep(time.Second)
	began := time.Now()
	next, nextDoor := start("new")
	c.Await("the new process's yes", givenTime, func() bool { return kit.Yes(nextDoor, "status") })
	mu.Lock()
	yesAt = time.Now()
	mu.Unlock()
	c.Note("the new process has said yes")
	time.Sleep(300 * time.Millisecond)
	at := discovery.Set("s-0", "terminating")
	c.Await("discovery's word to the coordinator", time.Second, func() bool { return discovery.Told(42) })
	mu.Lock()
	drainedAt = time.Now()
	mu.Unlock()
	c.Note("the coordinator was told after %v", time.Since(at))
	time.Sleep(time.Until(began.Add(givenTime)))
	old.Signal(syscall.SIGTERM)
	time.Sleep(killAfter)
	if !old.Ended() {
		old.Signal(syscall.SIGKILL)
	}
	time.Sleep(5 * time.Second)
	close(stop)
	sending.Wait()
	mu.Lock()
	defer mu.Unlock()
	c.Say("answers %v, parts by node %v", statuses, count)
	c.CopyLog(old, 5000)
	c.CopyLog(next, 5000)
	if next.Ended() {
		c.Fail("the new process has ended by itself, which is not what this case is about")
	}
	if statuses[200] < 100 {
		c.Fail("too few answers")
	}
	if late > 0 {
		c.Say("BROKEN: %d parts were sent to s-0 too late after its drain was told, the last by %.3f s", late,
			lateLast.Seconds())
		c.End(kit.Broken)
	}
	c.Say("held: nothing was sent to s-0 later than %v after its drain bound", grace+slack)
	c.End(kit.Held)
}
