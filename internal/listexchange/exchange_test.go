package listexchange

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/lease"
	"harepass/internal/decide/listversion"
	"harepass/internal/decide/maintenance"
	"harepass/internal/operator"
	"harepass/internal/platform"
	"harepass/internal/sharedfile"
)

// fakeList is a list whose record the test sets, and which adopts every record.
type fakeList struct {
	mu      sync.Mutex
	record  platform.ListRecord
	adopted []platform.ListRecord
}

func (f *fakeList) Record() (platform.ListRecord, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.record, f.record.Service != ""
}

func (f *fakeList) Adopt(_ context.Context, r platform.ListRecord, _ platform.CompleteList) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.adopted = append(f.adopted, r)
	return nil
}

// has reports whether the list has adopted a version.
func (f *fakeList) has(index int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.adopted {
		if r.Index == index {
			return true
		}
	}
	return false
}

// testProcess is one process of a coordinator, with a clock of its own.
type testProcess struct {
	*Exchange
	fakeList
	dir *operator.StateDir
}

// startedAt numbers the processes of a test, so that their files sort in the order of their starts.
var startedAt = time.Unix(1_764_700_000, 0)

// newTestProcess returns a process whose wall clock is off by a duration.
func newTestProcess(t *testing.T, folder string, clockOff time.Duration) *testProcess {
	startedAt = startedAt.Add(time.Second)
	dir, err := operator.OpenStateDir(folder, startedAt)
	if err != nil {
		t.Fatal(err)
	}
	shared, err := MachineClock()
	if err != nil {
		t.Fatal(err)
	}
	system := core.SystemClock()
	clock := func() time.Duration { return system() + clockOff }
	return &testProcess{Exchange: Open(dir.OwnPath(), "n1", clock, shared), dir: dir}
}

// tell sets the record to a version that discovery has told the process now.
func (p *testProcess) tell(index int64) {
	now := p.Clock()
	l := lease.New(now, 0, time.Second)
	state := l.State()
	p.mu.Lock()
	p.record = platform.ListRecord{Service: "d", Index: index, Base: index, ConfirmedAt: now, HeardAt: now,
		UnreachableAt: listversion.NotConfirmed, Lease: &state}
	p.mu.Unlock()
	p.Changed()
}

// write writes the record of a process that does not run.
func (p *testProcess) writeRecord(t *testing.T) {
	p.unwritten = true
	if p.writeIfDue(&p.fakeList); p.unwritten {
		t.Fatal("record not written")
	}
}

// run runs the process until the test ends.
func (p *testProcess) run(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		p.Run(ctx, &p.fakeList)
		close(done)
	}()
	t.Cleanup(func() { cancel(); <-done })
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// Two processes have wall clocks that differ by an hour. What one is told reaches the other, with its true age; if ages
// were counted by the wall clock, an old list would count as new.
func TestRecordsReachOtherProcesses(t *testing.T) {
	folder := t.TempDir()
	a, b := newTestProcess(t, folder, 0), newTestProcess(t, folder, time.Hour)
	a.run(t)
	b.run(t)
	for i, pair := range [][2]*testProcess{{a, b}, {b, a}} {
		index := int64(41 + i)
		pair[0].tell(index)
		eventually(t, "the record is not adopted", func() bool { return pair[1].has(index) })
		r := pair[1].adopted[len(pair[1].adopted)-1]
		if age := pair[1].Clock() - r.ConfirmedAt; age < 0 || age > 5*time.Second {
			t.Errorf("the record's age is %v in the other process", age)
		}
	}
}

// Three processes: the second one stores the old list later than the first one stored the new one. If the time of
// storing decided, the third one would start with the list before the drain.
func TestLatestIsNotTheOneStoredLast(t *testing.T) {
	folder := t.TempDir()
	first, second := newTestProcess(t, folder, 0), newTestProcess(t, folder, 0)
	second.tell(41)
	first.tell(42)
	first.writeRecord(t)
	second.writeRecord(t)
	checkLatest(t, newTestProcess(t, folder, 0), 42)
}

// Discovery was restarted with a lower index, which one process has heard since.
func TestLatestAfterDiscoveryWasRestarted(t *testing.T) {
	folder := t.TempDir()
	first, second := newTestProcess(t, folder, 0), newTestProcess(t, folder, 0)
	first.tell(42)
	first.writeRecord(t)
	time.Sleep(20 * time.Millisecond)
	second.tell(3)
	second.writeRecord(t)
	checkLatest(t, newTestProcess(t, folder, 0), 3)
}

// checkLatest fails unless a process starts with a version, of an age under 5 s.
func checkLatest(t *testing.T, p *testProcess, index int64) {
	t.Helper()
	r, _, ok := p.Latest("d")
	if !ok || r.Index != index {
		t.Errorf("latest version %d, found %v; want %d", r.Index, ok, index)
	}
	if age := p.Clock() - r.HeardAt; ok && (age < 0 || age > 5*time.Second) {
		t.Errorf("the latest record's age is %v", age)
	}
}

// Files that are not records of this coordinator and boot are not used, and a new process reads the others beside them.
func TestUnusableRecordsAreIgnored(t *testing.T) {
	folder := t.TempDir()
	writer := newTestProcess(t, folder, 0)
	writer.tell(41)
	writer.writeRecord(t)
	written, err := os.ReadFile(writer.path(writer.own, recordSuffix))
	if err != nil {
		t.Fatal(err)
	}
	with := func(change func(s *storedRecord)) []byte {
		var s storedRecord
		json.Unmarshal(written, &s)
		s.Record.Index = 99
		change(&s)
		data, _ := json.Marshal(s)
		return data
	}
	for name, data := range map[string][]byte{
		"torn":          written[:len(written)/2],
		"empty":         {},
		"other-version": with(func(s *storedRecord) { s.Version++ }),
		"other-name":    with(func(s *storedRecord) { s.Name = "n2" }),
		"other-boot":    with(func(s *storedRecord) { s.Boot = "before" }),
		"without-lease": with(func(s *storedRecord) { s.Record.Lease = nil }),
	} {
		if err := os.WriteFile(filepath.Join(folder, name+recordSuffix), data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	checkLatest(t, newTestProcess(t, folder, 0), 41)
}

// A record cannot be read, and then cannot be written, for a while: the processes try again until they can.
func TestFailingFolderIsTriedAgain(t *testing.T) {
	folder := t.TempDir()
	writer, reader := newTestProcess(t, folder, 0), newTestProcess(t, folder, 0)
	var mu sync.Mutex
	failing := true
	readFile := reader.readFile
	reader.readFile = func(path string) ([]byte, error) {
		mu.Lock()
		defer mu.Unlock()
		if failing {
			return nil, &os.PathError{Op: "read", Path: path, Err: syscall.EIO}
		}
		return readFile(path)
	}
	blocker := writer.path(writer.own, recordSuffix+sharedfile.WritingSuffix)
	if err := os.Mkdir(blocker, 0o700); err != nil { // a folder in the file's place: writing it fails
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(blocker, "x"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	writer.run(t)
	reader.run(t)
	writer.tell(41)
	time.Sleep(300 * time.Millisecond)
	os.RemoveAll(blocker)
	time.Sleep(300 * time.Millisecond)
	if reader.has(41) {
		t.Fatal("adopted although it cannot be read")
	}
	mu.Lock()
	failing = false
	mu.Unlock()
	eventually(t, "not adopted after the folder has recovered", func() bool { return reader.has(41) })
}

// Versions that fail leave a record each. The record of the process that serves is not removed for theirs, although its
// writer started first.
func TestRecordOfServingProcessIsNotPruned(t *testing.T) {
	folder := t.TempDir()
	serving := newTestProcess(t, folder, 0)
	for range 3 * maxRecords {
		failed := newTestProcess(t, folder, 0)
		failed.tell(41)
		failed.writeRecord(t)
	}
	serving.tell(42)
	serving.writeRecord(t)
	checkLatest(t, newTestProcess(t, folder, 0), 42)
	if names, _ := filepath.Glob(filepath.Join(folder, "*"+recordSuffix)); len(names) != maxRecords {
		t.Errorf("%d records left, want %d", len(names), maxRecords)
	}
}

// A process of the version before this one writes state files only. A change of its list reaches a new process; the
// list that its file has at the new process's start does not count as a change.
func TestListOfEarlierVersionIsAdopted(t *testing.T) {
	folder := t.TempDir()
	earlier, next := newTestProcess(t, folder, 0), newTestProcess(t, folder, 0)
	store := func(index int64) {
		list := json.RawMessage(fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[]}`, index))
		if _, err := earlier.dir.Write(operator.StateFile{Name: "n1", ListAt: 1, Discovery: "d", List: list,
			Maintenance: maintenance.Register{}}); err != nil {
			t.Fatal(err)
		}
	}
	store(41)
	if _, _, ok := next.Latest("d"); ok {
		t.Error("a record without an age is the latest")
	}
	next.run(t)
	time.Sleep(300 * time.Millisecond)
	store(42)
	eventually(t, "the change is not adopted", func() bool { return next.has(42) })
	if next.has(41) {
		t.Error("the list from before the start was adopted")
	}
}

// The version before this one finds records beside the state files, and reads and keeps only the latter: a file with a
// record in it would be refused whole, with the operators' calls.
func TestEarlierVersionReadsStateFilesBesideRecords(t *testing.T) {
	folder := t.TempDir()
	p, earlier := newTestProcess(t, folder, 0), newTestProcess(t, folder, 0)
	p.tell(41)
	p.writeRecord(t)
	register := maintenance.Register{"a1": {Out: true, At: 1, By: "127.0.0.1:5001"}}
	if _, err := p.dir.Write(operator.StateFile{Name: "n1", Maintenance: register}); err != nil {
		t.Fatal(err)
	}
	earlier.dir.Prune()
	files := earlier.dir.ReadChanged()
	if len(files) != 1 || !files[0].Maintenance["a1"].Out {
		t.Errorf("state files %+v, want one with the operators' call", files)
	}
	if _, err := os.Stat(p.path(p.own, recordSuffix)); err != nil || !strings.HasSuffix(p.dir.OwnPath(), operator.StateFileSuffix) {
		t.Errorf("the record is gone: %v", err)
	}
}

// A process is suspended between two readings of its clock. The shared clock's offset would be wrong by the time of the
// suspension, and an old list would count as new; the reading is repeated instead.
func TestStallBetweenClockReadings(t *testing.T) {
	now, reads := time.Duration(0), 0
	own := func() time.Duration {
		if reads++; reads == 2 {
			now += time.Second // suspended
		}
		return now
	}
	shared := SharedClock{Now: func() (time.Duration, error) { return now + time.Hour, nil }}
	if ahead, err := shared.ahead(own); ahead != time.Hour || err != nil {
		t.Errorf("ahead by %v, error %v; want 1h", ahead, err)
	}
	stalled := func() time.Duration { now += time.Second; return now }
	if _, err := shared.ahead(stalled); !errors.Is(err, errClockStalled) {
		t.Errorf("error %v, want %v", err, errClockStalled)
	}
}
