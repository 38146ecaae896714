package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"harepass/internal/logmsg"
)

// selfContaining is an inventory whose last group names itself as its child, as a typing mistake can.
const selfContaining = `all:
  children:
    map_nodes: &map_nodes
      hosts: {}
      children:
        spare_nodes: *map_nodes
`

// Review case 7: an inventory with a group that names itself, or something that is no file at all, is read on SIGHUP.
// The process must not notice: its searches are served, the log names the fault, and a SIGTERM ends it in its time.
func TestProcessOutlivesAnyInventory(t *testing.T) {
	for name, tc := range map[string]struct {
		replace func(f *inventoryFront) error
		want    string
	}{
		"a group in itself": {func(f *inventoryFront) error {
			return os.WriteFile(f.inventory, []byte(selfContaining), 0o600)
		}, "nodes.yml:6: group spare_nodes: the group contains itself"},
		"many nodes": {func(f *inventoryFront) error {
			return os.WriteFile(f.inventory, []byte("all: {"+strings.Repeat("a,", 2<<20-8)+"}\n"), 0o600)
		}, "nodes.yml:1: over 150000 YAML indicators"},
		"a FIFO":   {func(f *inventoryFront) error { return syscall.Mkfifo(f.inventory, 0o600) }, "not a regular file"},
		"a folder": {func(f *inventoryFront) error { return os.Mkdir(f.inventory, 0o700) }, "not a regular file"},
		"a huge file": {func(f *inventoryFront) error {
			file, err := os.Create(f.inventory)
			if err != nil {
				return err
			}
			defer file.Close()
			return file.Truncate(1 << 40)
		}, "larger than 4 MiB"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newInventoryFront(t, "nodes.yml")
			f.start(f.yaml())
			if err := os.Remove(f.inventory); err != nil {
				t.Fatal(err)
			}
			if err := tc.replace(f); err != nil {
				t.Fatal(err)
			}
			f.reload()
			eventually(t, "the fault is logged", func() bool {
				f.searchFor(time.Millisecond)
				return f.logged(tc.want)
			})
			if n := strings.Count(f.log.String(), logmsg.InventoryRejected); n != 1 {
				t.Errorf("%d log lines about the fault, want 1", n)
			}
			f.endsInTime()
		})
	}
}

// harepass check ends on such a file with one line that names file and line.
func TestCheckNamesGroupThatContainsItself(t *testing.T) {
	f := newInventoryFront(t, "nodes.yml")
	f.write(selfContaining)
	write := fileWriter(t, filepath.Dir(f.inventory))
	write("settings.json", string(exampleSettings(t)))
	front := write("front.yaml", "listen: "+f.search+"\nsettings: settings.json\ninventory: nodes.yml\n"+
		"indices: {conditions: {class: conditions-summary}}\n")
	var out, errs bytes.Buffer
	status := run([]string{"check", "-opensearch", front}, &out, &errs)
	const want = "nodes.yml:6: group spare_nodes: the group contains itself\n"
	if status != statusInvalid || !strings.HasSuffix(errs.String(), want) {
		t.Errorf("status %d, error %q; want %d and %q", status, errs.String(), statusInvalid, want)
	}
}
