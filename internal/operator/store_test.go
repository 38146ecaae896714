package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"harepass/internal/decide/maintenance"
	"harepass/internal/decide/scatter"
)

// fakeCoordinator lists the replicas a and b, and keeps what it was notified of.
type fakeCoordinator struct {
	mu       sync.Mutex
	register maintenance.Register // the latest
	shared   []bool               // all, in order
}

func (c *fakeCoordinator) SetMaintenance(r maintenance.Register) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.register = r
}
func (c *fakeCoordinator) HasEndpoint(id string) bool { return id == "a" || id == "b" }
func (c *fakeCoordinator) CheckReady() error          { return errors.New("draining") }
func (c *fakeCoordinator) SetLimitsShared(shared bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shared = append(c.shared, shared)
}

// out lists the replicas that are out.
func (c *fakeCoordinator) out() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	for _, id := range []string{"a", "b", "c"} {
		if c.register[id].Out {
			ids = append(ids, id)
		}
	}
	return strings.Join(ids, " ")
}

// process is a process of a coordinator.
type process struct {
	*Store
	coordinator *fakeCoordinator
	end         func() // ends it and waits for that
}

// wallClock is the wall clock; in a synctest bubble that of the bubble.
func wallClock() time.Duration { return time.Duration(time.Now().UnixNano()) }

// openDir opens a state directory for a process that starts now.
func openDir(t *testing.T, dir string) *StateDir {
	d, err := OpenStateDir(dir, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// startProcess starts a process of a coordinator on a directory.
func startProcess(t *testing.T, dir, name string) process {
	s := NewStore(name, openDir(t, dir), wallClock)
	p := process{Store: s, coordinator: &fakeCoordinator{}}
	s.Coordinator = p.coordinator
	s.NotifyCoordinator()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { s.Run(ctx); close(done) }()
	p.end = func() { cancel(); <-done }
	return p
}

// Two processes of a coordinator run side by side during an upgrade. A replica taken out at the old one is out at the
// new one from its start; a call at either binds the other within two polls; and it stays when a process ends. What
// was learned is handed on while it is new. Another coordinator's process takes nothing over.
func TestCallsBindBothProcesses(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		old := startProcess(t, dir, "n1")
		call := func(f func(string, string) error, id string, ok bool) {
			t.Helper()
			start := time.Now()
			if err := f(id, "test"); (err == nil) != ok || time.Since(start) > time.Second {
				t.Errorf("%s: %v after %v", id, err, time.Since(start))
			}
		}
		call(old.StartMaintenance, "a", true)
		call(old.StartMaintenance, "a", true)
		call(old.StartMaintenance, "nobody", false)
		var notListed *NotListedError
		if err := old.EndMaintenance("nobody", "test"); !errors.As(err, &notListed) || notListed.ID != "nobody" {
			t.Errorf("%v, want that nobody is not listed", err)
		}
		old.SetList("d:1", json.RawMessage(`{"index":7}`))
		old.SetCheckpoint(scatter.Checkpoint{At: old.Clock(), WarmedUpRate: 3})
		time.Sleep(2 * pollInterval)

		fresh := startProcess(t, dir, "n1")
		if list, from := fresh.InheritedList(); string(list) != `{"index":7}` || from != "d:1" {
			t.Errorf("found %s from %s", list, from)
		}
		if m, ok := fresh.Checkpoint(); !ok || m.WarmedUpRate != 3 {
			t.Errorf("checkpoint %+v, %t", m, ok)
		}
		synctest.Wait()
		if got := fresh.coordinator.out(); got != "a" {
			t.Errorf("the new process begins with %q out", got)
		}
		call(fresh.StartMaintenance, "b", true)
		time.Sleep(2 * pollInterval)
		if got := old.coordinator.out(); got != "a b" {
			t.Errorf("the old one has %q out", got)
		}
		call(old.EndMaintenance, "b", true) // the new one has not polled yet when it is called
		call(fresh.EndMaintenance, "a", true)
		time.Sleep(2 * pollInterval)
		if got := old.coordinator.out() + "|" + fresh.coordinator.out(); got != "|" {
			t.Errorf("still out: %q", got)
		}
		old.end()
		call(fresh.StartMaintenance, "a", true)
		fresh.end()
		time.Sleep(checkpointLifetime)
		stranger, third := startProcess(t, dir, "n2"), startProcess(t, dir, "n1")
		if _, ok := third.Checkpoint(); ok {
			t.Error("an old checkpoint passes for a new one")
		}
		synctest.Wait()
		if got := stranger.coordinator.out() + "|" + third.coordinator.out(); got != "|a" {
			t.Errorf("another coordinator and a third process: %q", got)
		}
		stranger.end()
		third.end()
	})
}

// Two processes serve at the same time and share the coordinator's limits. Both have to know, and the one that is
// left has to know when it is alone. The file of a process that ended long ago says nothing.
func TestBothProcessesKnowThatLimitsAreShared(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		checkpoint := func(p process) {
			p.SetCheckpoint(scatter.Checkpoint{At: p.Clock()})
			time.Sleep(time.Second)
		}
		ended := startProcess(t, dir, "n1")
		checkpoint(ended)
		ended.end()
		time.Sleep(peerTimeout)
		old := startProcess(t, dir, "n1")
		checkpoint(old)
		fresh := startProcess(t, dir, "n1")
		for range 4 {
			go checkpoint(old)
			checkpoint(fresh)
		}
		for range 6 {
			checkpoint(fresh)
		}
		for name, p := range map[string]process{"old": old, "new": fresh} {
			want := map[string]string{"old": "[true]", "new": "[true false]"}[name]
			if fmt.Sprint(p.coordinator.shared) != want {
				t.Errorf("the %s process was notified of %v, want %s", name, p.coordinator.shared, want)
			}
			p.end()
		}
	})
}

// The directory holds files that are torn, empty, too large or no files at all. They are left out, and the rest is
// used.
func TestUnreadableStateFilesAreLeftOut(t *testing.T) {
	dir := t.TempDir()
	good, err := Encode(StateFile{Name: "n1", Maintenance: maintenance.Register{"a": {Out: true, At: time.Hour}}})
	if err != nil {
		t.Fatal(err)
	}
	write := func(name string, data []byte) error { return os.WriteFile(filepath.Join(dir, name), data, 0o600) }
	if err := errors.Join(
		write("00-1.state", good[:len(good)-1]),
		write("01-1.state", nil),
		write("02-1.state", bytes.Repeat([]byte("x"), maxStateFileBytes+1)),
		os.Mkdir(filepath.Join(dir, "03-1.state"), 0o700),
		write("04-1.state", good),
	); err != nil {
		t.Fatal(err)
	}
	p := startProcess(t, dir, "n1")
	defer p.end()
	if err := p.StartMaintenance("b", "test"); err != nil || p.coordinator.out() != "a b" {
		t.Errorf("out: %q, %v", p.coordinator.out(), err)
	}
}

// The directory is removed while a process runs. A call binds all the same, and the log gets one line, not one for
// each poll.
func TestCallBindsThoughStateFileCannotBeWritten(t *testing.T) {
	var log bytes.Buffer
	before := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	defer slog.SetDefault(before)
	dir := filepath.Join(t.TempDir(), "state")
	synctest.Test(t, func(t *testing.T) {
		p := startProcess(t, dir, "n1")
		if err := os.RemoveAll(dir); err != nil {
			t.Fatal(err)
		}
		if err := p.StartMaintenance("a", "test"); err != nil || p.coordinator.out() != "a" {
			t.Errorf("%v, out: %q", err, p.coordinator.out())
		}
		time.Sleep(5 * time.Second)
		p.end()
	})
	if n := strings.Count(log.String(), msgNotWritten); n != 1 {
		t.Errorf("%d lines", n)
	}
}

// A coordinator of a large site has an endpoint list that does not fit into a state file. The operators' calls are written
// all the same, and hold in the next process; before, the file stayed as it was when it last fitted. The list that it had
// then is not taken for the latest.
func TestCallsOutliveListOverLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dir := t.TempDir()
		p := startProcess(t, dir, "n1")
		p.SetList("d:1", json.RawMessage(`{"index":1}`))
		time.Sleep(time.Second)
		p.SetList("d:1", json.RawMessage(`"`+strings.Repeat("x", maxStateFileBytes)+`"`))
		p.SetCheckpoint(scatter.Checkpoint{At: wallClock()})
		if err := p.StartMaintenance("a", "staff"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		p.end()
		time.Sleep(time.Second)
		next := startProcess(t, dir, "n1")
		if out := next.coordinator.out(); out != "a" {
			t.Errorf("out in the next process: %q, want a", out)
		}
		if list, discovery := next.InheritedList(); list != nil || discovery != "" {
			t.Errorf("the next process begins with the list %.40s of %q", list, discovery)
		}
		next.end()
	})
}

// A process that took a replica out was killed, and left its state file. The next process calls the replica back, and
// hours later another call comes, when the call back is as old as those that are forgotten. The process after that one
// reads both files: the replica stays in service, for the first file's call is not the last one.
func TestCalledBackReplicaStaysInBesideOldStateFile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dir := t.TempDir()
		call := func(p process, out bool, id string) {
			call := p.StartMaintenance
			if !out {
				call = p.EndMaintenance
			}
			if err := call(id, "staff"); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
		}
		first := startProcess(t, dir, "n1")
		call(first, true, "a")
		first.end()
		second := startProcess(t, dir, "n1")
		call(second, false, "a")
		time.Sleep(2 * time.Hour)
		call(second, true, "b")
		second.end()
		third := startProcess(t, dir, "n1")
		if out := third.coordinator.out(); out != "b" {
			t.Errorf("out in the third process: %q, want b", out)
		}
		third.end()
	})
}
