package faultinjection

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"harepass/internal/test/fake"
)

// Member is a coordinator of a Fleet: its addresses, its links, and its process while one runs.
type member struct {
	*Process
	name           string
	ordinal        int
	clientAddress  string
	discovery      *Link
	links          []*Link // to each node
	clients        *ClientPool
	startedAt      time.Time
	configuredSize int // size of the fleet in its configuration
	paused         bool

	latestProcess atomic.Pointer[Process] // the last one that was started
	terminating   atomic.Bool             // by a planned restart, whose goroutine alone has the process until it serves again
	terminatedAt  atomic.Int64            // when it was told to end last, in Unix nanoseconds: clients open no connections long after that
	killedAt      atomic.Int64            // when it was killed last without a warning
}

// openMember reserves a coordinator's address and opens its links to the nodes and to discovery.
func (f *Fleet) openMember(i int) (*member, error) {
	m := &member{name: fmt.Sprint("c", i), ordinal: i}
	var err error
	if m.clientAddress, err = reserve(); err != nil {
		return nil, err
	}
	for _, n := range f.replicas {
		fleet := &fake.Fleet{Script: func(int, int) fake.Reply { return f.decideReply(n) }, Heard: func(part fake.Part, did fake.Kind) { f.checker.partReceived(m, n, part, did) }}
		k, err := f.listeners.serveBehindLink(NewFramedLink, fleet.Frames)
		if err != nil {
			return nil, err
		}
		m.links = append(m.links, k)
	}
	m.discovery, err = f.listeners.serveBehindLink(NewLink, func(l net.Listener) {
		f.registry.Serve(l, m.replicaAddress, func(list fake.Listing) { f.checker.listSent(m, list) })
	})
	return m, err
}

// address is where the member reaches a node: the near end of its link.
func (m *member) replicaAddress(node string) string {
	var i int
	fmt.Sscanf(node, "n%d", &i)
	return m.links[i].Address()
}

// path is the file of a member's configuration.
func (f *Fleet) configPath(m *member) string { return filepath.Join(f.Dir, m.name+".json") }

// configure writes a member's configuration; what it knows is the list as it is now.
func (f *Fleet) configure(m *member) error {
	var settings map[string]any
	if err := json.Unmarshal(f.Settings, &settings); err != nil {
		return err
	}
	settings["balancers"], settings["me"] = m.configuredSize, m.ordinal
	if customers, ok := settings["customers"].([]any); ok { // the crowd is within its share
		for _, c := range customers {
			c.(map[string]any)["quota_per_s"] = 100000
		}
	}
	known, _ := f.registry.List(-1, m.replicaAddress)
	data, err := json.MarshalIndent(map[string]any{"name": m.name, "listen": m.clientAddress, "discovery": m.discovery.Address(), "seed": fmt.Sprintf("%016x", uint64(0x8c1f30d27a5be964)+uint64(m.ordinal)),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known, "settings": settings}, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(f.configPath(m), data, 0o600)
}

// startMember starts a member's process, and its clients with its first one.
func (f *Fleet) startMember(m *member) error {
	m.configuredSize = f.targetSize
	if err := f.configure(m); err != nil {
		return err
	}
	tmp := filepath.Join(f.Dir, m.name)
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return err
	}
	p, err := start(f.Command, append(f.Env, "PROXY_CONFIG="+f.configPath(m), "TMPDIR="+tmp), nil, func(line string) { f.Note(m.name, "%s", line) })
	if err != nil {
		return err
	}
	m.Process, m.paused, m.startedAt = p, false, time.Now()
	m.latestProcess.Store(p)
	f.checker.processStarted(m)
	f.Note("rig", "%s started as process %d, one of %d", m.name, p.Process.Pid, m.configuredSize)
	return nil
}

// awaitServing waits until a member says that it serves, and lets its clients ask.
func (f *Fleet) awaitServing(m *member) error {
	if err := WaitFor(m.name+" serves", m.Serves); err != nil {
		return fmt.Errorf("%w\n%s", err, m.Log())
	}
	f.mu.Lock()
	f.startupTimes = append(f.startupTimes, time.Since(m.startedAt))
	f.mu.Unlock()
	if m.clients == nil {
		m.clients = newClientPool(f.Clients, m.clientAddress, f.site.tenant, f.checker.forwarded, func(who, i int) query { return f.site.query(who, i, f.shards()) })
		f.startStrictClients(m)
	}
	return nil
}

// running lists members with a process that is not to be over.
func (f *Fleet) running() (some []*member) {
	for _, m := range f.members {
		if m.Process != nil {
			some = append(some, m)
		}
	}
	return some
}

// pause stops a process where it is; its connections stay.
func (f *Fleet) pause(m *member) error {
	m.paused = true
	return m.Process.Process.Signal(syscall.SIGSTOP)
}

// resume lets a paused process go on.
func (f *Fleet) resume(m *member) error {
	m.paused = false
	f.checker.processResumed(m)
	return m.Process.Process.Signal(syscall.SIGCONT)
}

// startAll starts those of some members that do not run, and waits for all of them.
func (f *Fleet) startAll(which []int) error {
	var some []*member
	for _, i := range which {
		if m := f.members[i]; !m.terminating.Load() && m.Process == nil {
			if err := f.startMember(m); err != nil {
				return err
			}
			some = append(some, m)
		}
	}
	for _, m := range some {
		if err := f.awaitServing(m); err != nil {
			return err
		}
	}
	return nil
}

// kill ends a process at once. What it had heard and not answered is lost.
func (f *Fleet) kill(m *member) {
	f.recordPeakMemory(m)
	m.killedAt.Store(time.Now().UnixNano())
	m.Process.Process.Kill()
	<-m.Exited
	m.Process = nil
}

// stop ends a process as planned; it answers what it has.
func (f *Fleet) stop(m *member) error {
	f.recordPeakMemory(m)
	p := m.Process
	if m.paused {
		f.resume(m)
	}
	p.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-p.Exited:
		m.Process = nil
		if err != nil {
			return fmt.Errorf("rig: %s ended with %w\n%s", m.name, err, p.Log())
		}
		return nil
	case <-time.After(waitTimeout):
		f.kill(m)
		return fmt.Errorf("rig: %s does not end\n%s", m.name, p.Log())
	}
}

// stopAll stops some members at once.
func (f *Fleet) stopAll(some []*member) error {
	errs := make([]error, len(some))
	var wg sync.WaitGroup
	for i, m := range some {
		wg.Go(func() { errs[i] = f.stop(m) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// recordPeakMemory keeps the peak resident memory of a process, where the system reports it.
func (f *Fleet) recordPeakMemory(m *member) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.Process.Process.Pid))
	if err != nil {
		return
	}
	_, rest, _ := strings.Cut(string(data), "VmHWM:")
	kb := 0
	fmt.Sscan(rest, &kb)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peakMemoryKB = append(f.peakMemoryKB, kb)
}
