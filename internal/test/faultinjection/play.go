package faultinjection

import (
	"errors"
	"fmt"
	"strings"
	"syscall"
	"time"

	"harepass/internal/test/fake"
)

// Play plays the scenario and returns what did not hold. The timeline tells the rest.
func (f *Fleet) Play() error {
	for _, m := range f.running() {
		if err := f.awaitServing(m); err != nil {
			return err
		}
	}
	f.Note("rig", "%d coordinators serve", len(f.running()))
	began := time.Now()
	for _, st := range f.Steps {
		time.Sleep(st.At - time.Since(began))
		if err := f.playStep(st); err != nil {
			return err
		}
	}
	time.Sleep(f.Duration - time.Since(began))
	f.healAll()
	if err := f.awaitBackground(); err != nil {
		return err
	}
	err := f.awaitCompleteAnswers()
	for _, m := range f.members {
		if m.clients != nil {
			m.clients.Stop()
		}
	}
	return errors.Join(err, f.stopAll(f.running()), f.verdict())
}

// playStep does one step.
func (f *Fleet) playStep(st Step) error {
	switch {
	case st.Kill != "":
		return f.eachRunning(st.Kill, "kill", func(m *member) error { f.kill(m); return nil })
	case st.Suspend != "":
		f.suspend(st.Suspend, st.For)
		return nil
	case st.Reload != "":
		return f.eachRunning(st.Reload, "reload", f.reload)
	case st.Terminate != "":
		return f.eachRunning(st.Terminate, "terminate", func(m *member) error { f.terminate(m, st.For); return nil })
	case st.Discovery != "":
		f.setDiscovery(st.Discovery)
		return nil
	case st.Stop != "":
		return f.eachRunning(st.Stop, "stop", f.stop)
	case st.Pause != "":
		return f.eachRunning(st.Pause, "pause", f.pause)
	case st.Resume != "":
		return f.eachRunning(st.Resume, "resume", f.resume)
	case st.Start != "":
		return f.startAll(match(st.Start, "c", len(f.members)))
	case st.Resize > 0:
		return f.resize(st.Resize, st.Reconfigure)
	case st.Replica != "":
		for _, i := range match(st.Replica, "n", len(f.replicas)) {
			f.Note("rig", "n%d becomes %s", i, st.Becomes)
			f.setState(f.replicas[i], st.Becomes)
		}
		return nil
	}
	return f.changeLinks(st)
}

// eachRunning does an action to each member that patterns name and whose process runs, under a name for the timeline.
func (f *Fleet) eachRunning(patterns, action string, act func(*member) error) error {
	for _, i := range match(patterns, "c", len(f.members)) {
		m := f.members[i]
		if m.terminating.Load() || m.Process == nil {
			continue
		}
		f.Note("rig", "%s %s", action, m.name)
		if err := act(m); err != nil {
			return err
		}
	}
	return nil
}

// grow changes the size of the fleet. Members that start have the new size in their configuration; of the others, those that
// the patterns name (all if empty) are reconfigured now, and the rest at the next step of this kind.
func (f *Fleet) resize(size int, reconfigured string) error {
	f.targetSize = size
	if err := f.reconfigureRunning(reconfigured); err != nil {
		return err
	}
	var within []int
	for i := range min(size, len(f.members)) {
		within = append(within, i)
	}
	var beyond []*member
	for _, m := range f.members[size:] {
		if m.Process != nil {
			f.Note("rig", "stop %s", m.name)
			beyond = append(beyond, m)
		}
	}
	return errors.Join(f.stopAll(beyond), f.startAll(within))
}

// resizeRunning writes the fleet's size to the configuration of members that patterns name (all if empty), and has their
// processes reload it.
func (f *Fleet) reconfigureRunning(patterns string) error {
	named := map[int]bool{}
	for _, i := range match(patterns, "c", len(f.members)) {
		named[i] = true
	}
	for i, m := range f.members[:min(f.targetSize, len(f.members))] {
		if m.Process == nil || m.configuredSize == f.targetSize || patterns != "" && !named[i] {
			continue
		}
		m.configuredSize = f.targetSize
		if err := f.configure(m); err != nil {
			return err
		}
		f.Note("rig", "%s hears of %d coordinators", m.name, f.targetSize)
		if err := m.Process.Process.Signal(syscall.SIGHUP); err != nil {
			return err
		}
	}
	return nil
}

// linksOf lists the links that "FROM TO" names.
func (f *Fleet) linksOf(fromTo string) (links []*Link) {
	names := strings.Fields(fromTo)
	for _, i := range match(names[0], "c", len(f.members)) {
		if m := f.members[i]; names[1] == "registry" {
			links = append(links, m.discovery)
		} else {
			for _, j := range match(names[1], "n", len(f.replicas)) {
				links = append(links, m.links[j])
			}
		}
	}
	return links
}

// changeLinks does to some links what a step says.
func (f *Fleet) changeLinks(st Step) error {
	links := f.linksOf(st.Link)
	if len(links) == 0 {
		return fmt.Errorf("rig: no link is like %q", st.Link)
	}
	f.Note("rig", "%d links %s: cut %q heal %t reset %t delay %v rate %d lose %v twice %v swap %v", len(links), st.Link, st.Cut, st.Heal, st.Reset, st.Delay, st.Rate, st.Drop, st.Duplicate, st.Reorder)
	for _, k := range links {
		switch {
		case st.Cut != "":
			k.Cut(ToServer, st.Cut != "back")
			k.Cut(ToClient, st.Cut != "there")
		case st.Heal:
			k.Heal()
		case st.Reset:
			k.Reset()
		case st.Delay > 0:
			k.Delay(st.Delay)
		case st.Rate > 0:
			k.Throttle(st.Rate)
		default:
			k.InjectMessageFaults(MessageFaults{Drop: st.Drop, Duplicate: st.Duplicate, Reorder: st.Reorder, Seed: uint64(len(f.replicas))})
		}
	}
	return nil
}

// healAll ends all faults: links are whole, nodes sound, and who was paused goes on.
func (f *Fleet) healAll() {
	f.Note("rig", "all faults end")
	if f.registry.Mode() != fake.RegistrySound {
		f.setDiscovery(discoveryHealthy)
	}
	for _, m := range f.members {
		for _, k := range append([]*Link{m.discovery}, m.links...) {
			k.Heal()
		}
		if !m.terminating.Load() && m.Process != nil && m.paused {
			f.resume(m)
		}
	}
	for _, n := range f.replicas {
		n.mu.Lock()
		state, status := n.state, n.entry.Status
		n.mu.Unlock()
		if status != statusInService {
			f.setState(n, replicaRestarted)
		} else if state != replicaHealthy {
			f.setState(n, replicaHealthy)
		}
	}
}

// awaitWholeSummaries waits until every coordinator that runs has served a whole summary: each section was reached.
func (f *Fleet) awaitCompleteAnswers() (err error) {
	summary := f.site.queryOfAllShards(f.shards())
	for _, m := range f.running() {
		tries := 0
		err = errors.Join(err, WaitFor(m.name+" serves a whole summary after the faults", func() bool {
			tries++
			client := &httpClient{address: m.clientAddress}
			defer client.disconnect()
			answer, _, err := client.roundTrip(summary.request(summary.class.queryID(fmt.Sprintf("after-%s-%d", m.name, tries)), f.site.tenant))
			return err == nil && answer.Complete
		}))
	}
	if err == nil {
		f.Note("rig", "%d coordinators serve whole summaries", len(f.running()))
	}
	return err
}
