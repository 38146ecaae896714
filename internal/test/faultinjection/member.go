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
type Member struct {
	*Process
	name      string
	no        int
	listen    string
	discovery *Link
	links     []*Link // to each node
	crowd     *Crowd
	startedAt time.Time
	knownSize int // size of the fleet in its configuration
	paused    bool

	latest   atomic.Pointer[Process] // the last one that was started
	ending   atomic.Bool             // by a planned restart, whose goroutine alone has the process until it serves again
	turnedTo atomic.Int64            // when it was told to end last, in Unix nanoseconds: clients open no connections long after that
	killedAt atomic.Int64            // when it was killed last without a warning
}

// openMember reserves a coordinator's address and opens its links to the nodes and to discovery.
func (f *Fleet) openMember(i int) (*Member, error) {
	m := &Member{name: fmt.Sprint("c", i), no: i}
	var err error
	if m.listen, err = reserve(); err != nil {
		return nil, err
	}
	for _, n := range f.nodes {
		fleet := &fake.Fleet{Script: func(int, int) fake.Reply { return f.reply(n) }, Heard: func(part fake.Part, did fake.Kind) { f.records.part(m, n, part, did) }}
		k, err := f.opened.serveBehindLink(NewFramedLink, fleet.Frames)
		if err != nil {
			return nil, err
		}
		m.links = append(m.links, k)
	}
	m.discovery, err = f.opened.serveBehindLink(NewLink, func(l net.Listener) {
		f.registry.Serve(l, m.address, func(list fake.Listing) { f.records.listed(m, list) })
	})
	return m, err
}

// address is where the member reaches a node: the near end of its link.
func (m *Member) address(node string) string {
	var i int
	fmt.Sscanf(node, "n%d", &i)
	return m.links[i].Address()
}

// path is the file of a member's configuration.
func (f *Fleet) path(m *Member) string { return filepath.Join(f.Dir, m.name+".json") }

// configure writes a member's configuration; what it knows is the list as it is now.
func (f *Fleet) configure(m *Member) error {
	var settings map[string]any
	if err := json.Unmarshal(f.Settings, &settings); err != nil {
		return err
	}
	settings["balancers"], settings["me"] = m.knownSize, m.no
	if customers, ok := settings["customers"].([]any); ok { // the crowd is within its share
		for _, c := range customers {
			c.(map[string]any)["quota_per_s"] = 100000
		}
	}
	known, _ := f.registry.List(-1, m.address)
	data, err := json.MarshalIndent(map[string]any{"name": m.name, "listen": m.listen, "discovery": m.discovery.Address(), "seed": fmt.Sprintf("%016x", uint64(0x8c1f30d27a5be964)+uint64(m.no)),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known, "settings": settings}, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(f.path(m), data, 0o600)
}

// startMember starts a member's process, and its clients with its first one.
func (f *Fleet) startMember(m *Member) error {
	m.knownSize = f.size
	if err := f.configure(m); err != nil {
		return err
	}
	tmp := filepath.Join(f.Dir, m.name)
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return err
	}
	p, err := start(f.Command, append(f.Env, "PROXY_CONFIG="+f.path(m), "TMPDIR="+tmp), nil, func(line string) { f.Note(m.name, "%s", line) })
	if err != nil {
		return err
	}
	m.Process, m.paused, m.startedAt = p, false, time.Now()
	m.latest.Store(p)
	f.records.started(m)
	f.Note("rig", "%s started as process %d, one of %d", m.name, p.Process.Pid, m.knownSize)
	return nil
}

// awaitServing waits until a member says that it serves, and lets its clients ask.
func (f *Fleet) awaitServing(m *Member) error {
	if err := Wait(m.name+" serves", m.Serves); err != nil {
		return fmt.Errorf("%w\n%s", err, m.Log())
	}
	f.mu.Lock()
	f.startupTimes = append(f.startupTimes, time.Since(m.startedAt))
	f.mu.Unlock()
	if m.crowd == nil {
		m.crowd = newCrowd(f.Clients, m.listen, f.site.tenant, f.records.sent, func(who, i int) question { return f.site.ask(who, i, f.sections()) })
		f.startJudged(m)
	}
	return nil
}

// running lists members with a process that is not to be over.
func (f *Fleet) running() (some []*Member) {
	for _, m := range f.members {
		if m.Process != nil {
			some = append(some, m)
		}
	}
	return some
}

// pause stops a process where it is; its connections stay.
func (f *Fleet) pause(m *Member) error {
	m.paused = true
	return m.Process.Process.Signal(syscall.SIGSTOP)
}

// resume lets a paused process go on.
func (f *Fleet) resume(m *Member) error {
	m.paused = false
	f.records.resumed(m)
	return m.Process.Process.Signal(syscall.SIGCONT)
}

// startAll starts those of some members that do not run, and waits for all of them.
func (f *Fleet) startAll(which []int) error {
	var some []*Member
	for _, i := range which {
		if m := f.members[i]; !m.ending.Load() && m.Process == nil {
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
func (f *Fleet) kill(m *Member) {
	f.recordPeakMemory(m)
	m.killedAt.Store(time.Now().UnixNano())
	m.Process.Process.Kill()
	<-m.Over
	m.Process = nil
}

// stop ends a process as planned; it answers what it has.
func (f *Fleet) stop(m *Member) error {
	f.recordPeakMemory(m)
	p := m.Process
	if m.paused {
		f.resume(m)
	}
	p.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-p.Over:
		m.Process = nil
		if err != nil {
			return fmt.Errorf("rig: %s ended with %w\n%s", m.name, err, p.Log())
		}
		return nil
	case <-time.After(patient):
		f.kill(m)
		return fmt.Errorf("rig: %s does not end\n%s", m.name, p.Log())
	}
}

// stopAll stops some members at once.
func (f *Fleet) stopAll(some []*Member) error {
	errs := make([]error, len(some))
	var wg sync.WaitGroup
	for i, m := range some {
		wg.Go(func() { errs[i] = f.stop(m) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// recordPeakMemory keeps the peak resident memory of a process, where the system reports it.
func (f *Fleet) recordPeakMemory(m *Member) {
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
