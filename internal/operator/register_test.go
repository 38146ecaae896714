package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"harepass/internal/decide/maintenance"
	"harepass/internal/decide/scatter"
)

// owner knows the nodes a and b and keeps the book that it was told last.
type owner struct {
	mu     sync.Mutex
	book   maintenance.Register
	shared []bool
}

func (o *owner) SetMaintenance(b maintenance.Register) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.book = b
}
func (o *owner) HasEndpoint(id string) bool { return id == "a" || id == "b" }
func (o *owner) CheckReady() error          { return errors.New("draining") }
func (o *owner) SetLimitsShared(yes bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.shared = append(o.shared, yes)
}

func (o *owner) out() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var ids []string
	for _, id := range []string{"a", "b", "c"} {
		if o.book[id].Out {
			ids = append(ids, id)
		}
	}
	return strings.Join(ids, " ")
}

type process struct {
	*Store
	owner *owner
	end   context.CancelFunc
}

// begin starts a process's register on a folder. In a bubble its clock is the bubble's.
func begin(t *testing.T, dir, name string) process {
	files, err := OpenFiles(dir, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	r := NewStore(name, files, func() time.Duration { return time.Duration(time.Now().UnixNano()) })
	p := process{Store: r, owner: &owner{}}
	r.Coordinator = p.owner
	r.Publish()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { r.Run(ctx); close(done) }()
	p.end = func() { cancel(); <-done }
	return p
}

// A ban called at the old process binds the new one from its start, one called at either binds the other within the time
// that the rule allows, and one process that ends or stands still changes nothing of it.
func TestTwoProcesses(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		old := begin(t, dir, "n1")
		call := func(f func(string, string) error, id string, ok bool) {
			t.Helper()
			began := time.Now()
			if err := f(id, "test"); (err == nil) != ok || time.Since(began) > time.Second {
				t.Errorf("%s: %v after %v", id, err, time.Since(began))
			}
		}
		call(old.Out, "a", true)
		call(old.Out, "a", true)
		call(old.Out, "nobody", false)
		old.SetList("d:1", json.RawMessage(`{"index":7}`))
		old.SetCheckpoint(scatter.Checkpoint{At: old.Clock(), WarmedUpRate: 3})
		time.Sleep(2 * lookEvery)

		fresh := begin(t, dir, "n1")
		if list, from := fresh.FoundList(); string(list) != `{"index":7}` || from != "d:1" {
			t.Errorf("found %s from %s", list, from)
		}
		if m, ok := fresh.Checkpoint(); !ok || m.WarmedUpRate != 3 {
			t.Errorf("learned %+v, %t", m, ok)
		}
		synctest.Wait()
		if got := fresh.owner.out(); got != "a" {
			t.Errorf("the new process begins with %q out", got)
		}
		call(fresh.Out, "b", true)
		time.Sleep(2 * lookEvery)
		if got := old.owner.out(); got != "a b" {
			t.Errorf("the old one has %q out", got)
		}
		call(old.Back, "b", true) // the new one has not looked yet when it is called
		call(fresh.Back, "a", true)
		time.Sleep(2 * lookEvery)
		if got := old.owner.out() + "|" + fresh.owner.out(); got != "|" {
			t.Errorf("still out: %q", got)
		}
		old.end()
		call(fresh.Out, "a", true)
		fresh.end()
		time.Sleep(keepLearned)
		stranger, third := begin(t, dir, "n2"), begin(t, dir, "n1")
		if _, ok := third.Checkpoint(); ok {
			t.Error("what was learned long ago passes for new")
		}
		synctest.Wait()
		if got := stranger.owner.out() + "|" + third.owner.out(); got != "|a" {
			t.Errorf("another coordinator and a third process: %q", got)
		}
		stranger.end()
		third.end()
	})
}

// Both processes know that they share the limits while both serve, and the one that is left knows when it is alone. A
// file of a process long over says nothing.
func TestLimitsShared(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		beat := func(p process) {
			p.SetCheckpoint(scatter.Checkpoint{At: p.Clock()})
			time.Sleep(time.Second)
		}
		gone := begin(t, dir, "n1")
		beat(gone)
		gone.end()
		time.Sleep(sharedFor)
		old := begin(t, dir, "n1")
		beat(old)
		fresh := begin(t, dir, "n1")
		for range 4 {
			go beat(old)
			beat(fresh)
		}
		for range 6 {
			beat(fresh)
		}
		for who, p := range map[string]process{"old": old, "new": fresh} {
			if want := map[string]string{"old": "[true]", "new": "[true false]"}[who]; fmt.Sprint(p.owner.shared) != want {
				t.Errorf("the %s process was told %v, want %s", who, p.owner.shared, want)
			}
			p.end()
		}
	})
}

// Files that are torn, foreign, of another version or too long are left out, and the rest is used.
func TestSpoiltFiles(t *testing.T) {
	dir := t.TempDir()
	good, err := Encode(Snapshot{Name: "n1", Maintenance: maintenance.Register{"a": {Out: true, At: time.Hour}}})
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(os.WriteFile(filepath.Join(dir, "00-1.state"), good[:len(good)-1], 0o600), os.WriteFile(filepath.Join(dir, "01-1.state"), nil, 0o600),
		os.WriteFile(filepath.Join(dir, "02-1.state"), bytes.Repeat([]byte("x"), longestFile+1), 0o600),
		os.Mkdir(filepath.Join(dir, "03-1.state"), 0o700), os.WriteFile(filepath.Join(dir, "04-1.state"), good, 0o600)); err != nil {
		t.Fatal(err)
	}
	p := begin(t, dir, "n1")
	defer p.end()
	if err := p.Out("b", "test"); err != nil || p.owner.out() != "a b" {
		t.Errorf("out: %q, %v", p.owner.out(), err)
	}
}

// A folder that is gone costs a line now and then, not one each look; the call binds all the same.
func TestFilesCannotBeWritten(t *testing.T) {
	var log bytes.Buffer
	before := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	defer slog.SetDefault(before)
	dir := filepath.Join(t.TempDir(), "state")
	synctest.Test(t, func(t *testing.T) {
		p := begin(t, dir, "n1")
		if err := os.RemoveAll(dir); err != nil {
			t.Fatal(err)
		}
		if err := p.Out("a", "test"); err != nil || p.owner.out() != "a" {
			t.Errorf("%v, out: %q", err, p.owner.out())
		}
		time.Sleep(5 * time.Second)
		p.end()
	})
	if n := strings.Count(log.String(), "state not written"); n != 1 {
		t.Errorf("%d lines", n)
	}
}

// Each cut, each other byte and each other version of a snapshot is refused.
func TestTornSnapshots(t *testing.T) {
	s := Snapshot{Name: "n1", At: time.Second, Maintenance: maintenance.Register{"a": {Out: true, At: time.Hour, By: "x"}}, Discovery: "d", List: json.RawMessage(`{"index":1}`),
		Checkpoint: &scatter.Checkpoint{At: 1, Replicas: []scatter.ReplicaCheckpoint{{ID: "a", LatencyRatio: 2}}}}
	good, err := Encode(s)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := Decode(good); err != nil || !reflect.DeepEqual(got, s) {
		t.Fatalf("%v %v", got, err)
	}
	for n := range good {
		if _, err := Decode(good[:n]); err == nil {
			t.Errorf("the first %d bytes pass", n)
		}
		bad := bytes.Clone(good)
		bad[n] ^= 1
		if got, err := Decode(bad); err == nil && !reflect.DeepEqual(got, s) {
			t.Errorf("with byte %d altered it passes as %v", n, got)
		}
	}
	for _, v := range []string{"0", "1", "999"} {
		if _, err := Decode(bytes.Replace(good, []byte(magic+" 2"), []byte(magic+" "+v), 1)); !errors.Is(err, ErrFormat) {
			t.Errorf("version %s: %v", v, err)
		}
	}
}

// Whatever a file holds, it is refused or is a snapshot that can be written again.
func FuzzSnapshot(f *testing.F) {
	good, _ := Encode(Snapshot{Name: "n1", Maintenance: maintenance.Register{"a": {Out: true, At: 1}}, List: json.RawMessage(`{}`)})
	f.Add(good)
	f.Add([]byte("harepass-state 2 0 00000000\n"))
	f.Add([]byte("harepass-state 1 0 00000000\n{}"))
	f.Add([]byte("harepass-state -1 -1 -1\n"))
	for _, body := range []string{`{"name":"n1","book":null}`, `{"at":-1}`, `{"book":{"a":{"at":1e99}}}`, `{}{}`} {
		f.Add(fmt.Appendf(nil, "%s %d %d %08x\n%s", magic, format, len(body), crc32.ChecksumIEEE([]byte(body)), body))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Encode(s)
		if err != nil {
			t.Fatalf("%+v: %v", s, err)
		}
		if got, err := Decode(again); err != nil || got.Name != s.Name || got.At != s.At || len(got.Maintenance) != len(s.Maintenance) {
			t.Errorf("%+v became %+v: %v", s, got, err)
		}
	})
}
