package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["upgrade"] = upgradeStaleList }

// fleetSize is the number of coordinators that the settings tell.
const fleetSize = 80

// upgradeStaleList: new versions are started beside old ones, as operators do; right after each new process's yes a node
// begins to drain, and the old process is told. The upgrades run side by side, each with a seed of its own.
func upgradeStaleList(b *bench) (broken bool, err error) {
	const upgrades = 8
	var group sync.WaitGroup
	late, errs := make([]int, upgrades), make([]error, upgrades)
	for i := range upgrades {
		group.Add(1)
		go func() {
			defer group.Done()
			late[i], errs[i] = b.upgrade(i + 1)
		}()
	}
	group.Wait()
	for i, n := range late {
		if errs[i] != nil {
			return false, errs[i]
		}
		if n > 0 {
			broken = true
		}
		b.rec.add("upgrade %d: %d parts to the node after the last moment for them", i+1, n)
	}
	return broken, nil
}

// call makes one call to an operators' door.
func call(address, line string) string {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(c, "%s\n", line)
	answer, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(answer)
}

// upgrade plays one upgrade with a seed and returns how many parts reached the draining node too late.
func (b *bench) upgrade(seed int) (late int, err error) {
	r := ring{3, 3, 6}
	nodes, list, err := b.startNodes(r, func(at *attempt) {
		time.Sleep(10 * time.Millisecond)
		at.answer("S", valueOf(at.id))
	})
	if err != nil {
		return 0, err
	}
	d, err := startDiscovery(b.rec, list)
	if err != nil {
		return 0, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	listen := l.Addr().String()
	socket, err := l.(*net.TCPListener).File()
	if err != nil {
		return 0, err
	}
	defer socket.Close()
	l.Close() // the file holds the socket
	tmp, err := os.MkdirTemp(b.folder, "tmp-")
	if err != nil {
		return 0, err
	}
	s := settings(r, routeLookup, hazardReport, conditions)
	s["balancers"] = fleetSize
	start := func(name string, seed int) (*coordinator, string, error) {
		door, err := freeAddress()
		if err != nil {
			return nil, "", err
		}
		config := platformConfig(fmt.Sprintf("u%d", seed%100), listen, d.address, s)
		config["operator"], config["seed"] = door, fmt.Sprintf("%016x", seed)
		c, err := b.start(startOptions{name: name, tmp: tmp, config: config, env: []string{"PROXY_FD=4"}, listenF: socket})
		if err != nil {
			return nil, "", err
		}
		for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if strings.HasPrefix(call(door, "status"), "200") {
				b.rec.add("%s says yes", name)
				return c, door, nil
			}
		}
		return nil, "", fmt.Errorf("%s did not say yes", name)
	}
	old, _, err := start(fmt.Sprintf("old%d", seed), seed+100)
	if err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	defer func() { close(stop); clients.Wait() }()
	clients.Add(1)
	go func() {
		defer clients.Done()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(40 * time.Millisecond):
			}
			ask(b.rec, listen, request{id: fmt.Sprintf("u%d-%d", seed, n), class: "route-lookup", budget: 2 * time.Second, shards: []int{n % 6}})
		}
	}()
	time.Sleep(5500 * time.Millisecond) // the old process has its watch by then, and has stored its list
	if b.trouble {
		if _, _, err := start(fmt.Sprintf("new%d", seed), seed); err != nil {
			return 0, err
		}
	}
	yes := time.Now()
	time.Sleep(100 * time.Millisecond)
	e := nodes[1].entry()
	e.Status = "terminating"
	d.set(e)
	told := time.Now()
	if b.trouble {
		time.Sleep(100 * time.Millisecond)
		old.signal(syscall.SIGTERM)
	}
	last := told
	if b.trouble { // news of discovery binds from 2 s after the yes
		last = yes.Add(2 * time.Second)
	}
	// 1 s of grace, 50 ms more on sockets, 0.15 s for a process that is held up.
	last = last.Add(1200 * time.Millisecond)
	time.Sleep(time.Until(yes.Add(6 * time.Second)))
	for _, at := range nodes[1].attempts() {
		if at.at.After(last) {
			late++
			b.rec.add("upgrade %d: part %s reaches %s %.3f s after the yes", seed, at.id, nodes[1].name, at.at.Sub(yes).Seconds())
		}
	}
	return late, nil
}
