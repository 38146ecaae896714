package main

import (
	"bytes"
	"strings"
	"testing"
)

// check lists what a new file would change in the file in force, and rejects a file that lacks a key.
func TestCheckListsChanges(t *testing.T) {
	good := platformFile(t, map[string]any{"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2"})
	write := fileWriter(t, t.TempDir())
	for what, tc := range map[string]struct {
		file   string
		status int
		want   string
	}{
		"the same": {good, statusOK, "settings: 4 classes"},
		"another": {strings.Replace(good, `"most_tries":4`, `"most_tries":3`, 1), statusOK,
			"change: caps.most_tries: 3, was 4\n"},
		"a key less": {strings.Replace(good, `"most_tries":4,`, "", 1), statusInvalid, "most_tries"},
	} {
		inForce := write("old.json", good)
		t.Setenv("PROXY_CONFIG", write("new.json", tc.file))
		var out, errs bytes.Buffer
		status := run([]string{"check", "-against", inForce}, &out, &errs)
		if status != tc.status || !strings.Contains(out.String()+errs.String(), tc.want) {
			t.Errorf("file %q: status %d, output %s%s", what, status, &out, &errs)
		}
	}
}
