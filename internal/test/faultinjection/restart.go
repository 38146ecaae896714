package faultinjection

import (
	"errors"
	"syscall"
	"time"
)

const (
	// maxTermDeadline is the longest deadline that a planned restart allows for; a longer one counts as this.
	maxTermDeadline = 3 * time.Second
	// termMargin, added to the longest deadline, is the minimum time from SIGTERM to the platform's SIGKILL.
	termMargin = 700 * time.Millisecond
)

// suspend stops the processes of coordinators that match the patterns for d, as happens on a busy machine. It includes
// processes that are ending. It returns without waiting for d.
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

// reload rewrites a member's configuration and has its process read it (SIGHUP).
func (f *Fleet) reload(m *member) error {
	if err := f.configure(m); err != nil {
		return err
	}
	return m.Process.Process.Signal(syscall.SIGHUP)
}

// killDelay is the time after SIGTERM from which the platform may send SIGKILL.
func (f *Fleet) killDelay() time.Duration {
	longest := maxTermDeadline
	if f.Deadline > 0 {
		longest = min(longest, f.Deadline)
	}
	return longest + termMargin
}

// terminate restarts a member's process as the platform does: SIGTERM, SIGKILL as early as the platform may send it,
// and a new process a downtime after the exit. It returns at once; awaitBackground waits for the restart.
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

// awaitExit waits until a process that got SIGTERM exits. It kills the process after killDelay, which is no error.
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

// recordFailure records an error of a planned restart for awaitBackground.
func (f *Fleet) recordFailure(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures = append(f.failures, err)
}

// awaitBackground waits for planned restarts and suspensions to end, and joins the errors of the restarts.
func (f *Fleet) awaitBackground() error {
	f.background.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	return errors.Join(f.failures...)
}
