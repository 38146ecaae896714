package faultinjection

import (
	"errors"
	"fmt"
	"time"

	"harepass/internal/test/fake"
)

// Play waits until all coordinators serve, executes the scenario's steps, ends all faults, waits until every running
// coordinator serves complete answers again, and stops clients and processes. The error joins the failures and the
// violations of rules; the timeline has the details. Play must be called only once.
func (f *Fleet) Play() error {
	for _, m := range f.running() {
		if err := f.awaitServing(m); err != nil {
			return err
		}
	}
	f.Note(sourceHarness, "%d coordinators serve", len(f.running()))
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

// playStep executes a step.
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
		f.changeReplicas(st.Replica, st.Becomes)
		return nil
	}
	return f.changeLinks(st)
}

// eachRunning calls act for each member that matches the patterns, has a process and has no planned restart in
// progress. It records the action's name in the timeline.
func (f *Fleet) eachRunning(patterns, action string, act func(*member) error) error {
	for _, i := range match(patterns, "c", len(f.members)) {
		m := f.members[i]
		if m.terminating.Load() || m.Process == nil {
			continue
		}
		f.Note(sourceHarness, "%s %s", action, m.name)
		if err := act(m); err != nil {
			return err
		}
	}
	return nil
}

// healAll ends all faults of discovery, links and replicas, and resumes paused processes.
func (f *Fleet) healAll() {
	f.Note(sourceHarness, "all faults end")
	if f.registry.Mode() != fake.RegistryHealthy {
		f.setDiscovery(discoveryHealthy)
	}
	for _, m := range f.members {
		for _, link := range append([]*Link{m.discovery}, m.links...) {
			link.Heal()
		}
		if !m.terminating.Load() && m.Process != nil && m.paused {
			f.resume(m)
		}
	}
	for _, r := range f.replicas {
		f.healReplica(r)
	}
}

// awaitCompleteAnswers waits until each running coordinator has served a complete answer to a query that asks all
// shards.
func (f *Fleet) awaitCompleteAnswers() (err error) {
	q := f.site.queryOfAllShards(f.shards())
	for _, m := range f.running() {
		attempt := 0
		err = errors.Join(err, WaitFor(m.name+" serves a complete answer after the faults", func() bool {
			attempt++
			client := &httpClient{address: m.clientAddress}
			defer client.disconnect()
			id := q.class.queryID(fmt.Sprintf("after-%s-%d", m.name, attempt))
			answer, _, err := client.roundTrip(q.request(id, f.site.tenant))
			return err == nil && answer.Complete
		}))
	}
	if err == nil {
		f.Note(sourceHarness, "%d coordinators serve complete answers", len(f.running()))
	}
	return err
}
