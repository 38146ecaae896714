package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

func init() { cases["stale"] = staleList }

// startRelay starts an authority or a relay with a configuration file.
func (b *bench) startRelay(name, text string) (*coordinator, error) {
	file := filepath.Join(b.folder, name+".yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	line, err := runLine(b.root)
	if err != nil {
		return nil, err
	}
	program, _, _ := strings.Cut(line, " serve")
	log, err := os.Create(filepath.Join(b.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	c := &coordinator{rec: b.rec, name: name, ended: make(chan struct{})}
	c.cmd = exec.Command("/bin/sh", "-c", program+" relay -config "+file)
	c.cmd.Dir, c.cmd.Stdout, c.cmd.Stderr = b.root, log, log
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := c.cmd.Start(); err != nil {
		return nil, err
	}
	b.rec.add("%s started, process %d", name, c.cmd.Process.Pid)
	go func() {
		b.rec.add("%s ended: %v", name, c.cmd.Wait())
		close(c.ended)
	}()
	b.add(c)
	return c, nil
}

// staleList: coordinators have the list from relays. The authority, which alone asks discovery, dies. Later a node
// drains. Discovery has that and can be reached all the time.
func staleList(b *bench) (broken bool, err error) {
	r := ring{3, 3, 6}
	nodes, list, err := b.startNodes(r, func(at *attempt) {
		time.Sleep(20 * time.Millisecond)
		at.answer("S", valueOf(at.id))
	})
	if err != nil {
		return false, err
	}
	d, err := startDiscovery(b.rec, list)
	if err != nil {
		return false, err
	}
	var address [3]string
	for i := range address {
		if address[i], err = freeAddress(); err != nil {
			return false, err
		}
	}
	authority, err := b.startRelay("authority", fmt.Sprintf("listen: %s\nauthority:\n  discovery: %s\n", address[0], d.address))
	if err != nil {
		return false, err
	}
	if _, err := b.startRelay("relay", fmt.Sprintf("listen: %s\nsources:\n  - {address: %q}\n", address[1], address[0])); err != nil {
		return false, err
	}
	time.Sleep(1500 * time.Millisecond)
	file := filepath.Join(b.folder, "distribution.yaml")
	if err := os.WriteFile(file, []byte(fmt.Sprintf("sources:\n  - {address: %q}\nresources: [nodes]\n", address[1])), 0o600); err != nil {
		return false, err
	}
	c, err := b.start(startOptions{name: "n1", args: " -distribution " + file,
		config: platformConfig("n1", address[2], d.address, settings(r, routeLookup, hazardReport, conditions))})
	if err != nil {
		return false, err
	}
	if err := waitReady(address[2], "/health/ready", ready); err != nil {
		return false, err
	}
	n := 0
	play := func(until time.Time) {
		for ; time.Now().Before(until) && !c.hasEnded(); n++ {
			ask(b.rec, address[2], request{id: fmt.Sprintf("q%d", n), class: "route-lookup", budget: 2 * time.Second, shards: []int{n % 6}})
			time.Sleep(50 * time.Millisecond)
		}
	}
	play(time.Now().Add(2 * time.Second))
	if b.trouble {
		authority.signal(syscall.SIGKILL)
	}
	play(time.Now().Add(2 * time.Second))
	e := nodes[1].entry()
	e.Status = "terminating"
	d.set(e)
	drained := time.Now()
	// Told after 6 s at the latest, then 1 s of grace; 50 ms longer on sockets, and 0.15 s for a coordinator that is held up.
	limit := drained.Add(7200 * time.Millisecond)
	play(limit.Add(5 * time.Second))
	late := 0
	for _, at := range nodes[1].attempts() {
		if at.at.After(limit) {
			late++
		}
	}
	b.rec.add("%s got %d parts more than 7.2 s after discovery had its drain", nodes[1].name, late)
	return late > 0, nil
}
