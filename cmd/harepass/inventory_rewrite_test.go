package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"harepass/internal/logmsg"
	"harepass/internal/test/fake"
)

const (
	ringSize          = 12 // also the number of shards and of replicas, one for each position
	replicationFactor = 3  // of the example settings
)

// inventoryFront is a process that has its replicas from an inventory only. Each replica counts the parts of shards
// that it does not hold.
type inventoryFront struct {
	*program
	t         *testing.T
	search    string // address of the front
	inventory string // path of the inventory
	ports     []string
	misplaced atomic.Int64
}

// newInventoryFront starts the replicas. inventory is the file name of the inventory, which decides its format.
func newInventoryFront(t *testing.T, inventory string) *inventoryFront {
	f := &inventoryFront{t: t, search: ownAddress(t), inventory: filepath.Join(t.TempDir(), inventory)}
	for position := range ringSize {
		replica := &fake.Replicas{OnPart: func(part fake.Part, _ fake.Kind) {
			if (position-part.Shard+ringSize)%ringSize >= replicationFactor {
				f.misplaced.Add(1)
			}
		}}
		l := listen(t)
		go replica.ServeFrames(l)
		f.ports = append(f.ports, port(l))
	}
	return f
}

// csv returns the replicas as a CSV file with line breaks of the given kind.
func (f *inventoryFront) csv(lineBreak string) string {
	text := "name,address,port,cell" + lineBreak
	for position, port := range f.ports {
		text += fmt.Sprintf("node%02d,127.0.0.1,%s,%d%s", position, port, position, lineBreak)
	}
	return text
}

// yaml returns the replicas as a YAML file in block style. The last line is that of the last replica's position.
func (f *inventoryFront) yaml() string {
	text := "all:\n  hosts:\n"
	for position, port := range f.ports {
		text += fmt.Sprintf("    node%02d:\n      ansible_host: 127.0.0.1\n      harepass_port: %s\n", position, port)
		text += fmt.Sprintf("      harepass_cell: %d\n", position)
	}
	return text
}

// start writes the inventory, starts the process and waits until it is ready.
func (f *inventoryFront) start(text string) {
	f.write(text)
	f.startProcess()
	f.waitReady()
}

// startProcess writes the process's other files and starts it.
func (f *inventoryFront) startProcess() {
	write := fileWriter(f.t, filepath.Dir(f.inventory))
	large := strings.NewReplacer(`"positions": 3`, fmt.Sprintf(`"positions": %d`, ringSize),
		`"shards": 6`, fmt.Sprintf(`"shards": %d`, ringSize))
	write("settings.json", large.Replace(string(exampleSettings(f.t))))
	front := write("front.yaml", "listen: "+f.search+"\nsettings: settings.json\ninventory: "+f.inventory+
		"\nall: conditions\nindices: {conditions: {class: conditions-summary}}\n")
	f.program = startProgram(f.t, nil, "serve", "-opensearch", front)
}

func (f *inventoryFront) waitReady() {
	f.t.Helper()
	eventually(f.t, "the process is ready", func() bool {
		return getStatus("http://"+f.search+"/_cluster/health") == 200
	})
}

// write replaces the contents of the inventory in place.
func (f *inventoryFront) write(text string) {
	f.t.Helper()
	if err := os.WriteFile(f.inventory, []byte(text), 0o600); err != nil {
		f.t.Error(err)
	}
}

// reload sends SIGHUP.
func (f *inventoryFront) reload() { f.Process.Signal(syscall.SIGHUP) }

// searchFor sends searches of all shards for a time. Each must be served.
func (f *inventoryFront) searchFor(d time.Duration) {
	f.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); {
		if status := getStatus("http://" + f.search + "/conditions/_search"); status != 200 {
			f.t.Errorf("search: status %d, want 200", status)
		}
	}
}

// rewrite is a way to write an inventory in two writes.
type rewrite struct {
	file      string                             // name of the inventory
	text      func(*inventoryFront) string       // the whole contents
	first     func(text string) (written string) // what the first write leaves in the file
	keepsOpen bool                               // the tool has the file open all the time, else only while it writes
	pause     time.Duration                      // between the two writes
}

func withoutLast(n int) func(string) string {
	return func(text string) string { return text[:len(text)-n] }
}

func withoutLastRow(text string) string {
	return text[:strings.LastIndex(strings.TrimSpace(text), "\n")+1]
}

func firstRows(text string) string { return withoutLastRow(text[:len(text)/2]) }

func withoutLastHost(text string) string { return text[:strings.LastIndex(text, "    node")] }

func csvText(f *inventoryFront) string { return f.csv("\n") }

// Review case 10: a tool rewrites the inventory in place, and a SIGHUP arrives between its two writes. What stands in
// the file then can be read without a fault. It must not count as the whole file: a cell that is cut short sends parts
// to a replica that does not hold their shard, and a missing row takes a replica out of service.
func TestInventoryRewrittenWhileItIsRead(t *testing.T) {
	const pause = 1500 * time.Millisecond
	crlfText := func(f *inventoryFront) string { return f.csv("\r\n") }
	yamlText := (*inventoryFront).yaml
	for name, tc := range map[string]rewrite{
		"cut cell, file open":     {"nodes.csv", csvText, withoutLast(len("1\n")), true, pause},
		"cut cell, file closed":   {"nodes.csv", csvText, withoutLast(len("1\n")), false, pause},
		"no line break, open":     {"nodes.csv", csvText, withoutLast(len("\n")), true, pause},
		"last row missing":        {"nodes.csv", csvText, withoutLastRow, false, pause},
		"half of the rows":        {"nodes.csv", csvText, firstRows, false, pause},
		"nothing":                 {"nodes.csv", csvText, func(string) string { return "" }, false, pause},
		"cut between CR and LF":   {"nodes.csv", crlfText, withoutLast(len("\n")), false, pause / 3},
		"cut cell in block style": {"nodes.yml", yamlText, withoutLast(len("1\n")), false, pause},
		"host missing in YAML":    {"nodes.yml", yamlText, withoutLastHost, true, pause},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newInventoryFront(t, tc.file)
			text := tc.text(f)
			f.start(text)
			f.rewriteInTwoWrites(tc, text)
			if torn := regexp.MustCompile(`(removed|changed)=[1-9].*`).FindString(f.log.String()); torn != "" {
				t.Errorf("a part of the file counted as the whole: %s", torn)
			}
			if n := f.misplaced.Load(); n > 0 {
				t.Errorf("%d parts reached a replica that does not hold their shard", n)
			}
			eventually(t, "the whole inventory is read", func() bool {
				return f.logged(logmsg.InventoryReloaded + " endpoints=12 added=0 removed=0 changed=0")
			})
			f.searchFor(100 * time.Millisecond)
			if n := f.misplaced.Load(); n > 0 {
				t.Errorf("after the whole inventory is read: %d misplaced parts", n)
			}
		})
	}
}

// rewriteInTwoWrites writes the inventory again, with a SIGHUP and searches between the two writes and a SIGHUP at the
// end.
func (f *inventoryFront) rewriteInTwoWrites(tc rewrite, text string) {
	if tc.keepsOpen {
		writer, err := os.OpenFile(f.inventory, os.O_WRONLY, 0)
		if err != nil {
			f.t.Fatal(err)
		}
		defer writer.Close()
	}
	f.write(tc.first(text))
	f.reload()
	f.searchFor(tc.pause)
	f.write(text)
	f.reload()
}

// A tool is killed in the middle of a row, so that the file stays torn: it is refused for the sections that it leaves
// without a holder, and the old endpoints serve on. Once the file is whole, it is read without another SIGHUP. A
// SIGTERM meanwhile ends the process in its time.
func TestRejectedInventoryIsReadAgainWithoutSignal(t *testing.T) {
	t.Parallel()
	f := newInventoryFront(t, "nodes.csv")
	text := f.csv("\n")
	f.start(text)
	f.write(text[:len(text)/2])
	f.reload()
	eventually(t, "the inventory is rejected", func() bool { return f.logged(logmsg.InventoryRejected) })
	f.searchFor(100 * time.Millisecond)
	if n := strings.Count(f.log.String(), logmsg.InventoryRejected); n != 1 {
		t.Errorf("%d log lines for one torn file, want 1", n)
	}
	f.write(text)
	eventually(t, "the inventory is read", func() bool { return f.logged(logmsg.InventoryReloaded) })
	f.write(text[:len(text)/2])
	f.reload()
	f.searchFor(300 * time.Millisecond)
	f.endsInTime()
	if n := f.misplaced.Load(); n > 0 {
		t.Errorf("%d parts reached a replica that does not hold their shard", n)
	}
}

// endsInTime sends SIGTERM and checks that the process ends without a fault before it may be killed.
func (f *inventoryFront) endsInTime() {
	f.t.Helper()
	const earliestKill = 3700 * time.Millisecond
	began := time.Now()
	f.Process.Signal(syscall.SIGTERM)
	if err := f.Wait(); err != nil || time.Since(began) > earliestKill {
		f.t.Errorf("ended %v after SIGTERM, error %v; want an end within %v\n%s", time.Since(began), err, earliestKill,
			f.log)
	}
}

// An inventory that leaves a section without a holder is refused at the start, by serve and by check, and the line
// names the sections.
func TestInventoryWithoutHolderIsRefused(t *testing.T) {
	dir := t.TempDir()
	write := fileWriter(t, dir)
	settings := bytes.Replace(exampleSettings(t), []byte(`"positions": 3`), []byte(`"positions": 6`), 1)
	write("settings.json", string(settings))
	write("nodes.csv", "name,port,cell\na,1,0\nb,1,2\n")
	front := write("front.yaml", "listen: 127.0.0.1:1\nsettings: settings.json\ninventory: nodes.csv\n"+
		"indices: {conditions: {class: conditions-summary}}\n")
	const fault = "nodes.csv: no host holds the sections [3]"
	var out, errs bytes.Buffer
	status := run([]string{"check", "-opensearch", front}, &out, &errs)
	if status != statusInvalid || !strings.Contains(errs.String(), fault) {
		t.Errorf("check: status %d, error %q; want %d and %q", status, errs.String(), statusInvalid, fault)
	}
	p := startProgram(t, nil, "serve", "-opensearch", front)
	eventually(t, "serve names the sections", func() bool { return p.logged(fault) })
	if p.Wait(); p.ProcessState.ExitCode() != statusInvalid {
		t.Errorf("serve: status %d, want %d", p.ProcessState.ExitCode(), statusInvalid)
	}
}

// The files are being rewritten without an end while a process starts: it neither serves by a torn file nor misses a
// SIGTERM while it waits.
func TestTermWhileFilesChangeAtStart(t *testing.T) {
	t.Parallel()
	f := newInventoryFront(t, "nodes.csv")
	text := f.csv("\n")
	f.write(text)
	writing := make(chan struct{})
	defer func() { <-writing }()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		defer close(writing)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
				os.WriteFile(f.inventory, []byte(text[:len(text)-1-i%40]), 0o600)
			}
		}
	}()
	f.startProcess()
	eventually(t, "the start waits", func() bool { return f.logged(logmsg.ConfigurationPostponed) })
	f.endsInTime()
	if f.logged(logmsg.ListenerOpened) {
		t.Error("it opened its listener with files that change")
	}
}

// The inventory is being rewritten when a process starts. It begins to serve with the whole file.
func TestStartWhileInventoryIsRewritten(t *testing.T) {
	t.Parallel()
	f := newInventoryFront(t, "nodes.yml")
	text := f.yaml()
	f.write(text[:len(text)-len("1\n")])
	f.startProcess()
	time.Sleep(1500 * time.Millisecond)
	f.write(text)
	f.waitReady()
	f.searchFor(300 * time.Millisecond)
	if n := f.misplaced.Load(); n > 0 {
		t.Errorf("%d parts reached a replica that does not hold their shard", n)
	}
}
