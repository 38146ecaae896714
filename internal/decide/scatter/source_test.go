package scatter

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Each file of the decision module has one concern and a limited length, and its lines have a limited width. The module
// as a whole has no limit any more.
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
			t.Errorf("%s has %d lines that are not blank, want at most %d", name, lines, mostLines)
		}
	}
}
