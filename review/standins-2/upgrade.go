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

// host is a machine on which one coordinator's processes take over from each other.
type host struct {
	*bench
	number    int
	nodes     []*node
	discovery *discovery
	listen    string
	socket    *os.File // of the clients' listener, which the platform holds
	tmp       string   // TMPDIR of all processes
	settings  map[string]any
	stop      chan struct{}
	clients   sync.WaitGroup
}

// newHost starts three nodes and discovery, and opens the clients' listener.
func (b *bench) newHost(number, fleet int) (h *host, err error) {
	r := ring{3, 3, 6}
	h = &host{bench: b, number: number, settings: settings(r, routeLookup, hazardReport, conditions), stop: make(chan struct{})}
	h.settings["balancers"] = fleet
	var list []endpoint
	if h.nodes, list, err = b.startNodes(r, func(at *attempt) {
		time.Sleep(10 * time.Millisecond)
		at.answer("S", valueOf(at.id))
	}); err != nil {
		return nil, err
	}
	if h.discovery, err = startDiscovery(b.rec, list); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer l.Close() // the file holds the socket
	h.listen = l.Addr().String()
	if h.socket, err = l.(*net.TCPListener).File(); err != nil {
		return nil, err
	}
	h.tmp, err = os.MkdirTemp(b.folder, "tmp-")
	return h, err
}

// start starts a process of the coordinator and waits for its yes. It returns its operators' door too.
func (h *host) start(name string, seed int) (*coordinator, string, error) {
	door, err := freeAddress()
	if err != nil {
		return nil, "", err
	}
	config := platformConfig(fmt.Sprintf("u%d", h.number), h.listen, h.discovery.address, h.settings)
	config["operator"], config["seed"] = door, fmt.Sprintf("%016x", seed)
	c, err := h.bench.start(startOptions{name: fmt.Sprintf("%s-%d", name, h.number), tmp: h.tmp, config: config,
		env: []string{"PROXY_FD=4"}, listenF: h.socket})
	if err != nil {
		return nil, "", err
	}
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if strings.HasPrefix(call(door, "status"), "200") {
			h.rec.add("%s says yes", c.name)
			return c, door, nil
		}
	}
	return nil, "", fmt.Errorf("%s did not say yes", c.name)
}

// startClient sends a request every 40 ms, each on a connection of its own, until endClient.
func (h *host) startClient() {
	h.clients.Add(1)
	go func() {
		defer h.clients.Done()
		for n := 0; ; n++ {
			select {
			case <-h.stop:
				return
			case <-time.After(40 * time.Millisecond):
			}
			ask(h.rec, h.listen, request{id: fmt.Sprintf("u%d-%d", h.number, n), class: "route-lookup",
				budget: 2 * time.Second, shards: []int{n % 6}})
		}
	}()
}

func (h *host) endClient() {
	close(h.stop)
	h.clients.Wait()
	h.socket.Close()
}

// upgrade plays one upgrade with a seed and returns how many parts reached the draining node too late.
func (b *bench) upgrade(seed int) (late int, err error) {
	h, err := b.newHost(seed, fleetSize)
	if err != nil {
		return 0, err
	}
	old, _, err := h.start("old", seed+100)
	if err != nil {
		return 0, err
	}
	h.startClient()
	defer h.endClient()
	nodes, d := h.nodes, h.discovery
	time.Sleep(5500 * time.Millisecond) // the old process has its watch by then, and has stored its list
	if b.trouble {
		if _, _, err := h.start("new", seed); err != nil {
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
