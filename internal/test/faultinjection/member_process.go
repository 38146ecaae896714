package faultinjection

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// startMember writes a member's configuration for the current fleet size and starts its process.
func (f *Fleet) startMember(m *member) error {
	m.configuredSize = f.targetSize
	if err := f.configure(m); err != nil {
		return err
	}
	tmp := filepath.Join(f.Dir, m.name)
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return err
	}
	env := append(f.Env, "PROXY_CONFIG="+f.configPath(m), "TMPDIR="+tmp)
	p, err := start(f.Command, env, nil, func(line string) { f.Note(m.name, "%s", line) })
	if err != nil {
		return err
	}
	m.Process, m.paused, m.startedAt = p, false, time.Now()
	m.latestProcess.Store(p)
	f.checker.processStarted(m)
	f.Note(sourceHarness, "%s started as process %d, one of %d", m.name, p.Process.Pid, m.configuredSize)
	return nil
}

// awaitServing waits until a member serves. If it is the member's first process, it then starts the member's clients.
func (f *Fleet) awaitServing(m *member) error {
	if err := WaitFor(m.name+" serves", m.Serves); err != nil {
		return fmt.Errorf("%w\n%s", err, m.Log())
	}
	f.mu.Lock()
	f.startupTimes = append(f.startupTimes, time.Since(m.startedAt))
	f.mu.Unlock()
	if m.clients == nil {
		nextQuery := func(client, i int) query { return f.site.query(client, i, f.shards()) }
		m.clients = newClientPool(f.Clients, m.clientAddress, f.site.tenant, f.checker.forwarded, nextQuery)
		f.startStrictClients(m)
	}
	return nil
}

// startAll starts each member of the given ordinals that has no process and no planned restart in progress, and waits
// until all of those serve.
func (f *Fleet) startAll(ordinals []int) error {
	var started []*member
	for _, i := range ordinals {
		if m := f.members[i]; !m.terminating.Load() && m.Process == nil {
			if err := f.startMember(m); err != nil {
				return err
			}
			started = append(started, m)
		}
	}
	for _, m := range started {
		if err := f.awaitServing(m); err != nil {
			return err
		}
	}
	return nil
}

// pause stops a member's process with SIGSTOP; its connections stay open.
func (f *Fleet) pause(m *member) error {
	m.paused = true
	return m.Process.Process.Signal(syscall.SIGSTOP)
}

// resume continues a member's paused process with SIGCONT.
func (f *Fleet) resume(m *member) error {
	m.paused = false
	f.checker.processResumed(m)
	return m.Process.Process.Signal(syscall.SIGCONT)
}

// kill ends a member's process with SIGKILL. Queries that it has read and not answered are lost.
func (f *Fleet) kill(m *member) {
	f.recordPeakMemory(m)
	m.killedAt.Store(time.Now().UnixNano())
	m.Process.Process.Kill()
	<-m.Exited
	m.Process = nil
}

// stop ends a member's process with SIGTERM and waits until it exits, which it does after it has answered the queries
// that it has read. The error wraps ErrProcessFailed if the process fails, or does not exit in time and is killed.
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
		return exitError(m, p, err)
	case <-time.After(waitTimeout):
		f.kill(m)
		return fmt.Errorf("%w: %s did not exit in time after SIGTERM\n%s", ErrProcessFailed, m.name, p.Log())
	}
}

// exitError returns an error that wraps ErrProcessFailed and contains the process's log if err, the result of the
// process's exit, is not nil.
func exitError(m *member, p *Process, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%w: %s: %w\n%s", ErrProcessFailed, m.name, err, p.Log())
}

// stopAll stops members concurrently.
func (f *Fleet) stopAll(members []*member) error {
	errs := make([]error, len(members))
	var wg sync.WaitGroup
	for i, m := range members {
		wg.Go(func() { errs[i] = f.stop(m) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// recordPeakMemory records the peak resident memory of a process that is about to end, if the system reports it.
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
