package faultinjection

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"harepass/internal/test/fake"
)

// This file is what happens to coordinators beside the steps that wait: planned restarts with the earliest kill, moments in
// which a process stands still, reloads; and the modes of discovery.

const (
	maxTermDeadline = 3 * time.Second        // longer deadlines count as this
	termMargin      = 700 * time.Millisecond // SIGKILL may come the longest deadline and this after SIGTERM
)

// The modes of discovery as a scenario names them.
const discoveryHealthy = "sound"

var discoveryModes = []string{discoveryHealthy, string(fake.RegistryDown), string(fake.RegistryCrowded), string(fake.RegistrySilent)}

// setDiscovery changes how discovery treats calls.
func (f *Fleet) setDiscovery(mode string) {
	f.Note("rig", "discovery is %s", mode)
	if mode == discoveryHealthy {
		mode = string(fake.RegistrySound)
	}
	f.registry.SetMode(fake.RegistryMode(mode))
	f.checker.setDiscoveryReachable(mode != string(fake.RegistryDown))
}

// hold lets the processes that patterns name stand still for a moment, those that end included.
func (f *Fleet) suspend(patterns string, d time.Duration) {
	for _, i := range match(patterns, "c", len(f.members)) {
		p := f.members[i].latestProcess.Load()
		if p == nil || p.Process.Signal(syscall.SIGSTOP) != nil {
			continue
		}
		f.Note("rig", "hold c%d for %v", i, d.Round(time.Millisecond))
		f.background.Go(func() {
			time.Sleep(d)
			p.Process.Signal(syscall.SIGCONT)
		})
	}
}

// reload has a process read its configuration again.
func (f *Fleet) reload(m *member) error {
	if err := f.configure(m); err != nil {
		return err
	}
	return m.Process.Process.Signal(syscall.SIGHUP)
}

// earliestKill is how long after SIGTERM the platform may kill.
func (f *Fleet) killDelay() time.Duration {
	longest := maxTermDeadline
	if f.Deadline > 0 {
		longest = min(longest, f.Deadline)
	}
	return longest + termMargin
}

// terminate restarts a process as the platform does: SIGTERM, SIGKILL at the earliest moment, and a new process a time after
// the end.
func (f *Fleet) terminate(m *member, down time.Duration) {
	f.recordPeakMemory(m)
	m.terminating.Store(true)
	m.terminatedAt.Store(time.Now().UnixNano())
	p := m.Process
	p.Process.Signal(syscall.SIGTERM)
	f.background.Go(func() {
		defer m.terminating.Store(false)
		if err := f.awaitExit(m, p); err != nil {
			f.recordFailure(err)
		}
		m.Process = nil
		time.Sleep(down)
		if err := f.startMember(m); err != nil {
			f.recordFailure(err)
			return
		}
		if err := f.awaitServing(m); err != nil {
			f.recordFailure(err)
		}
		m.terminatedAt.Store(0)
	})
}

// awaitEnd waits for the end of a process that was told to end, and kills it as soon as it may be.
func (f *Fleet) awaitExit(m *member, p *Process) error {
	select {
	case err := <-p.Exited:
		f.Note("rig", "%s ended by itself: %v", m.name, err)
		if err != nil {
			return fmt.Errorf("rig: %s ended with %w\n%s", m.name, err, p.Log())
		}
	case <-time.After(f.killDelay()):
		f.Note("rig", "%s is killed at the earliest moment", m.name)
		p.Process.Kill()
		<-p.Exited
	}
	return nil
}

// fail keeps what went wrong in the background.
func (f *Fleet) recordFailure(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures = append(f.failures, err)
}

// awaitBackground waits for all that runs beside the steps.
func (f *Fleet) awaitBackground() error {
	f.background.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	return errors.Join(f.failures...)
}
