package scatter

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The decision module is read in files of one concern: none is long, and no line is wide. A limit on all of its lines
// together no longer holds.
func TestModuleSize(t *testing.T) {
	const mostLines, mostColumns = 350, 120
	files, err := filepath.Glob("*.go")
	if err != nil || len(files) == 0 {
		t.Fatal(err, files)
	}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		data, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		lines := 0
		for i, line := range strings.Split(string(data), "\n") {
			if strings.TrimSpace(line) != "" {
				lines++
			}
			if w := len([]rune(strings.ReplaceAll(line, "\t", "    "))); w > mostColumns {
				t.Errorf("%s:%d has %d columns", name, i+1, w)
			}
		}
		if lines > mostLines {
			t.Errorf("%s has %d lines that are not blank, at most %d wanted", name, lines, mostLines)
		}
	}
}
