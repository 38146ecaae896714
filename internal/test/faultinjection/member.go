package faultinjection

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"harepass/internal/test/fake"
)

const (
	// memberSeed is the seed in the configuration of the first member; the others count up from it.
	memberSeed uint64 = 0x8c1f30d27a5be964
	// unboundedQuota is a quota in queries a second that no fleet's clients reach.
	unboundedQuota = 100000
)

// processLimits is what the platform grants each process of the program.
var processLimits = map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}

// member is a coordinator of a Fleet, with its process while one runs.
type member struct {
	*Process              // nil while none runs
	name           string // c0, c1, ...
	ordinal        int
	clientAddress  string      // where its clients connect
	discovery      *Link       // to discovery
	links          []*Link     // to each replica, by number
	clients        *ClientPool // nil until its first process serves
	startedAt      time.Time   // of its latest process
	configuredSize int         // the size of the fleet in its configuration
	paused         bool        // its process got SIGSTOP, until a step or the end of all faults resumes it

	latestProcess atomic.Pointer[Process] // the one that was started last, also while it ends
	terminating   atomic.Bool             // a planned restart is under way; only its goroutine may use the process
	terminatedAt  atomic.Int64            // when a planned restart sent SIGTERM, in Unix ns; 0 for none under way
	killedAt      atomic.Int64            // when it was last killed without a warning, in Unix ns
}

// openMember reserves a coordinator's address and opens its links to the replicas and to discovery.
func (f *Fleet) openMember(ordinal int) (*member, error) {
	m := &member{name: fmt.Sprint("c", ordinal), ordinal: ordinal}
	var err error
	if m.clientAddress, err = Reserve(); err != nil {
		return nil, err
	}
	for _, r := range f.replicas {
		server := &fake.Replicas{
			Script: func(int, int) fake.Reply { return f.decideReply(r) },
			OnPart: func(part fake.Part, reply fake.Kind) { f.checker.partReceived(m, r, part, reply) },
		}
		link, err := f.listeners.serveBehindLink(NewFramedLink, server.ServeFrames)
		if err != nil {
			return nil, err
		}
		m.links = append(m.links, link)
	}
	m.discovery, err = f.listeners.serveBehindLink(NewLink, func(l net.Listener) {
		f.registry.Serve(l, m.replicaAddress, func(list fake.EndpointList) { f.checker.listSent(m, list) })
	})
	return m, err
}

// replicaAddress is where the member reaches the replica of a name: the near end of its link.
func (m *member) replicaAddress(replica string) string {
	var i int
	fmt.Sscanf(replica, "n%d", &i)
	return m.links[i].Address()
}

// configPath is the file of a member's configuration.
func (f *Fleet) configPath(m *member) string { return filepath.Join(f.Dir, m.name+".json") }

// configure writes a member's configuration. Its endpoint list is the one that discovery has now.
func (f *Fleet) configure(m *member) error {
	var settings map[string]any
	if err := json.Unmarshal(f.Settings, &settings); err != nil {
		return err
	}
	settings["balancers"], settings["me"] = m.configuredSize, m.ordinal
	if tenants, ok := settings["customers"].([]any); ok {
		for _, tenant := range tenants {
			tenant.(map[string]any)["quota_per_s"] = unboundedQuota
		}
	}
	known, _ := f.registry.List(-1, m.replicaAddress)
	data, err := json.MarshalIndent(map[string]any{
		"name":      m.name,
		"listen":    m.clientAddress,
		"discovery": m.discovery.Address(),
		"seed":      fmt.Sprintf("%016x", memberSeed+uint64(m.ordinal)),
		"limits":    processLimits,
		"known":     known,
		"settings":  settings,
	}, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(f.configPath(m), data, 0o600)
}

// running lists the members that have a process.
func (f *Fleet) running() (running []*member) {
	for _, m := range f.members {
		if m.Process != nil {
			running = append(running, m)
		}
	}
	return running
}
