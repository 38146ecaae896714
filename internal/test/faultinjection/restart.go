package faultinjection

import (
	"errors"
	"syscall"
	"time"
)

const (
	// maxTermDeadline bounds the deadline that a planned restart grants; longer ones count as this.
	maxTermDeadline = 3 * time.Second
	// termMargin is how long after SIGTERM, in addition to the longest deadline, the platform sends SIGKILL at the
	// earliest.
	termMargin = 700 * time.Millisecond
)

// suspend stops the processes that patterns name for a moment, as a busy machine does, also those that end. It does not
// wait.
func (f *Fleet) suspend(patterns string, d time.Duration) {
	for _, i := range match(patterns, "c", len(f.members)) {
		p := f.members[i].latestProcess.Load()
		if p == nil || p.Process.Signal(syscall.SIGSTOP) != nil {
			continue
		}
		f.Note(sourceHarness, "suspend c%d for %v", i, d.Round(time.Millisecond))
		f.background.Go(func() {
			time.Sleep(d)
			p.Process.Signal(syscall.SIGCONT)
		})
	}
}

// reload has a process read its configuration, which is written anew.
func (f *Fleet) reload(m *member) error {
	if err := f.configure(m); err != nil {
		return err
	}
	return m.Process.Process.Signal(syscall.SIGHUP)
}

// killDelay is how long after SIGTERM the platform may send SIGKILL.
func (f *Fleet) killDelay() time.Duration {
	longest := maxTermDeadline
	if f.Deadline > 0 {
		longest = min(longest, f.Deadline)
	}
	return longest + termMargin
}

// terminate restarts a process as the platform does: SIGTERM, SIGKILL at the earliest moment, and a new process some
// time after the end. It does not wait; awaitBackground does.
func (f *Fleet) terminate(m *member, downtime time.Duration) {
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
		time.Sleep(downtime)
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

// awaitExit waits for the end of a process that got SIGTERM, and kills it as soon as the platform may.
func (f *Fleet) awaitExit(m *member, p *Process) error {
	select {
	case err := <-p.Exited:
		f.Note(sourceHarness, "%s ended by itself: %v", m.name, err)
		return exitError(m, p, err)
	case <-time.After(f.killDelay()):
		f.Note(sourceHarness, "%s is killed at the earliest moment", m.name)
		p.Process.Kill()
		<-p.Exited
		return nil
	}
}

// recordFailure records what went wrong in the background.
func (f *Fleet) recordFailure(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures = append(f.failures, err)
}

// awaitBackground waits for restarts and suspensions, and joins what went wrong in them.
func (f *Fleet) awaitBackground() error {
	f.background.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	return errors.Join(f.failures...)
}
