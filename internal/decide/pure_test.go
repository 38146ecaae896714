// Package decide_test checks that the decisions in the packages below this folder are pure.
package decide_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// impure lists what makes a file of decisions impure: an import for I/O, locks, logs or another layer, a clock, a
// goroutine, or random numbers without a seed from the caller.
func impure(f *ast.File) (faults []string) {
	const (
		clocks = " Now Since Until Sleep After AfterFunc NewTimer NewTicker Tick " // forbidden: package time
		seeded = " Rand New NewPCG Source "                                        // allowed: math/rand with a seed
	)
	for _, imp := range f.Imports {
		path, _ := strconv.Unquote(imp.Path.Value)
		switch root, _, _ := strings.Cut(path, "/"); {
		case root == "net", root == "os", root == "sync", root == "io", root == "syscall",
			path == "log/slog", path == "math/rand", path == "unsafe",
			strings.HasPrefix(path, "harepass/internal/") && !strings.HasPrefix(path, "harepass/internal/decide/"):
			faults = append(faults, "imports "+path)
		}
	}
	ast.Inspect(f, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			faults = append(faults, "starts a goroutine")
		case *ast.SelectorExpr:
			x, ok := n.X.(*ast.Ident)
			if !ok {
				break
			}
			selected := " " + n.Sel.Name + " "
			if x.Name == "time" && strings.Contains(clocks, selected) ||
				x.Name == "rand" && !strings.Contains(seeded, selected) {
				faults = append(faults, "uses "+x.Name+"."+n.Sel.Name)
			}
		}
		return true
	})
	return faults
}

func TestDecisionsArePure(t *testing.T) {
	set, files := token.NewFileSet(), 0
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		f, err := parser.ParseFile(set, path, nil, 0)
		if err != nil {
			return err
		}
		for _, fault := range impure(f) {
			t.Errorf("%s %s", path, fault)
		}
		return nil
	})
	if err != nil || files == 0 {
		t.Fatalf("checked %d files, %v", files, err)
	}
}

func TestImpurityIsSeen(t *testing.T) {
	for _, body := range []string{
		`import "net/http"`, `import "sync/atomic"`, `import "os"`, `import "harepass/internal/core"`,
		"import \"time\"\nvar _ = time.Now()", "func f() { go f() }", "import \"math/rand/v2\"\nvar _ = rand.IntN(2)",
	} {
		f, err := parser.ParseFile(token.NewFileSet(), "x.go", "package x\n"+body, 0)
		if err != nil || len(impure(f)) == 0 {
			t.Errorf("%q: no impurity reported (%v)", body, err)
		}
	}
}
