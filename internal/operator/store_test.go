package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"harepass/internal/decide/maintenance"
	"harepass/internal/decide/scatter"
)

// fakeCoordinator is a Coordinator whose endpoint list has the replicas a and b. It records its notifications.
type fakeCoordinator struct {
	mu       sync.Mutex
	register maintenance.Register // the latest one
	shared   []bool               // all values set, in order
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

// out returns the ids of the replicas that are out for maintenance.
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

// process is a simulated process of a coordinator.
type process struct {
	*Store
	coordinator *fakeCoordinator
	end         func() // ends the process and waits until Run has returned
}

// wallClock returns the time since the Unix epoch; within a synctest bubble, by the bubble's clock.
func wallClock() time.Duration { return time.Duration(time.Now().UnixNano()) }

// openDir opens a state directory as a process that starts now.
func openDir(t *testing.T, dir string) *StateDir {
	d, err := OpenStateDir(dir, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// startProcess starts a process of the coordinator name with the state directory dir.
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

// Two processes of a coordinator run side by side during an upgrade. A replica that the old process took out is out in
// the new one from its start. A call to either process takes effect in the other within two polls, and stays in effect
// after a process ends. A checkpoint is taken over while it is recent. A process of another coordinator takes over
// nothing.
func TestCallsBindBothProcesses(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		old := startProcess(t, dir, "n1")
		call := func(f func(string, string) error, id string, ok bool) {
			t.Helper()
			start := time.Now()
			if err := f(id, "test"); (err == nil) != ok || time.Since(start) > time.Second {
				t.Errorf("call for %s: error %v after %v", id, err, time.Since(start))
			}
		}
		call(old.StartMaintenance, "a", true)
		call(old.StartMaintenance, "a", true)
		call(old.StartMaintenance, "nobody", false)
		var notListed *NotListedError
		if err := old.EndMaintenance("nobody", "test"); !errors.As(err, &notListed) || notListed.ID != "nobody" {
			t.Errorf("%v, want a NotListedError for the id nobody", err)
		}
		old.SetList("d:1", json.RawMessage(`{"index":7}`))
		old.SetCheckpoint(scatter.Checkpoint{At: old.Clock(), WarmedUpRate: 3})
		time.Sleep(2 * pollInterval)

		fresh := startProcess(t, dir, "n1")
		if list, from := fresh.InheritedList(); string(list) != `{"index":7}` || from != "d:1" {
			t.Errorf("the new process found the list %s from %s", list, from)
		}
		if m, ok := fresh.Checkpoint(); !ok || m.WarmedUpRate != 3 {
			t.Errorf("the new process found the checkpoint %+v, %t", m, ok)
		}
		synctest.Wait()
		if got := fresh.coordinator.out(); got != "a" {
			t.Errorf("the new process starts with %q out, want a", got)
		}
		call(fresh.StartMaintenance, "b", true)
		time.Sleep(2 * pollInterval)
		if got := old.coordinator.out(); got != "a b" {
			t.Errorf("the old process has %q out, want a b", got)
		}
		call(old.EndMaintenance, "b", true) // before the new process has polled
		call(fresh.EndMaintenance, "a", true)
		time.Sleep(2 * pollInterval)
		if got := old.coordinator.out() + "|" + fresh.coordinator.out(); got != "|" {
			t.Errorf("still out in the old and the new process: %q", got)
		}
		old.end()
		call(fresh.StartMaintenance, "a", true)
		fresh.end()
		time.Sleep(checkpointLifetime)
		otherCoordinator, third := startProcess(t, dir, "n2"), startProcess(t, dir, "n1")
		if _, ok := third.Checkpoint(); ok {
			t.Error("a checkpoint older than checkpointLifetime was taken over")
		}
		synctest.Wait()
		if got := otherCoordinator.coordinator.out() + "|" + third.coordinator.out(); got != "|a" {
			t.Errorf("out in another coordinator's process and in the third process: %q, want |a", got)
		}
		otherCoordinator.end()
		third.end()
	})
}

// Two processes that serve at the same time share the coordinator's limits. Both must be notified of that, and the
// remaining one must be notified when the other has ended. The file of a process that ended long ago must be ignored.
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

// The directory has entries that are incomplete, empty or too large files, or not files at all. These must be ignored,
// and the valid file used.
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
		t.Errorf("out: %q, error %v, want a b", p.coordinator.out(), err)
	}
}

// The directory is removed while a process runs. A maintenance call must still take effect, and the failure must be
// logged once, not at each poll.
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
			t.Errorf("error %v, out: %q, want a", err, p.coordinator.out())
		}
		time.Sleep(5 * time.Second)
		p.end()
	})
	if n := strings.Count(log.String(), msgNotWritten); n != 1 {
		t.Errorf("%d log lines for the failed writes, want 1", n)
	}
}

// A coordinator of a large site has an endpoint list that does not fit into a state file. The operators' calls must
// still be written and take effect in the next process; formerly the file stayed as it was when it last fitted. The
// older list in that file must not count as the latest.
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
			t.Errorf("the next process starts with the list %.40s of %q, want none", list, discovery)
		}
		next.end()
	})
}

// The first process takes a replica out, is killed, and leaves its state file. The second process ends the replica's
// maintenance. Hours later it gets a call for another replica, when the entry of the first replica is old enough to be
// pruned. The third process reads both files: the first replica must stay in service, because the second file has the
// later call for it.
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

// Two processes run side by side, and the one with the older list stores it later. If the other one took it over, its
// state file would lack the changes that it has told others, and a third process could not start from it.
func TestOlderListStoredLaterDoesNotReplaceOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dir := t.TempDir()
		newer := startProcess(t, dir, "n1")
		time.Sleep(time.Second)
		older := startProcess(t, dir, "n1")
		newer.SetList("d:1", json.RawMessage(`{"index":42}`))
		time.Sleep(time.Second)
		older.SetList("d:1", json.RawMessage(`{"index":41}`))
		time.Sleep(time.Second)
		if list, _ := newer.InheritedList(); string(list) != `{"index":42}` {
			t.Errorf("the list %s is stored in place of version 42", list)
		}
		newer.end()
		older.end()
	})
}

// Versions that fail leave a state file each. Operators then take a replica out at the process that serves, which
// started before them. The next version starts with the call, and so does one that starts after it has failed as well:
// the file of the process that serves is still there, though it is not written again.
func TestCallOutlivesFailedVersions(t *testing.T) {
	dir := t.TempDir()
	serving := startProcess(t, dir, "n1")
	for range 2 * maxOldStateFiles {
		if _, err := openDir(t, dir).Write(StateFile{Name: "n1"}); err != nil {
			t.Fatal(err)
		}
	}
	if err := serving.StartMaintenance("a", "staff"); err != nil {
		t.Fatal(err)
	}
	serving.end()
	for version := range 2 {
		if !NewStore("n1", openDir(t, dir), wallClock).own.Maintenance["a"].Out {
			t.Errorf("version %d starts without the operators' call", version)
		}
		if files, _ := filepath.Glob(filepath.Join(dir, "*"+StateFileSuffix)); len(files) != maxOldStateFiles {
			t.Errorf("%d state files are left, want %d", len(files), maxOldStateFiles)
		}
	}
}

// A state file that cannot be read for a while stays, although others were written after it.
func TestStateFileThatWasNotReadIsNotRemoved(t *testing.T) {
	dir := t.TempDir()
	for range 2 * maxOldStateFiles {
		if _, err := openDir(t, dir).Write(StateFile{Name: "n1"}); err != nil {
			t.Fatal(err)
		}
	}
	reader := openDir(t, dir)
	reader.readFile = func(path string) ([]byte, error) {
		return nil, &fs.PathError{Op: "read", Path: path, Err: syscall.EIO}
	}
	reader.ReadChanged()
	reader.Prune()
	if files, _ := filepath.Glob(filepath.Join(dir, "*"+StateFileSuffix)); len(files) != 2*maxOldStateFiles {
		t.Errorf("%d state files are left, want %d", len(files), 2*maxOldStateFiles)
	}
}
