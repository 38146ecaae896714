package opensearch_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"harepass/internal/decide/scatter"
	"harepass/internal/opensearch"

	"go.yaml.in/yaml/v3"
)

// badConfigs are files that ParseConfig or Check must reject, with a text that the error must contain.
var badConfigs = map[string]string{
	"":                                    "empty file",
	"listen: x\nlisten: y":                "line 2",
	"listen: x\ncolour: y":                "line 2: field colour not found",
	"listen: x":                           "no indices",
	"indices: {a: {class: route-lookup}}": "no listen address",
	"listen: x\nindices: {a: {class: c}}": `index a: no class "c"`,
	"listen: x\nindices: {a: {class: hazard-report}}": "index a: class hazard-report" +
		" may not run twice",
	"listen: x\nindices: {_a: {class: route-lookup}}":                        `index "_a"`,
	"listen: x\nindices: {a: {class: route-lookup, sections: [0, 10]}}":      "index a: sections",
	"listen: x\nindices: {a: {class: route-lookup, weights: {1: 0}}}":        "index a: weight 0 of section 1",
	"listen: x\nall: b\nindices: {a: {class: route-lookup}}":                 `all: "b" is no index`,
	"listen: x\ncallers: {app: nobody}\nindices: {a: {class: route-lookup}}": `caller app: no tenant "nobody"`,
}

// loadAndCheck loads and checks a file with the given text, as a program does when it starts.
func loadAndCheck(t *testing.T, text string) error {
	t.Helper()
	path := filepath.Join(t.TempDir(), "opensearch.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	c, err := opensearch.ParseConfig(path, data)
	if err != nil {
		return err
	}
	return c.Check(settings(), shards)
}

// An operator's file has one mistake. The program does not start, and its error names the wrong entry in one line.
func TestBadConfigIsNamedInOneLine(t *testing.T) {
	for text, want := range badConfigs {
		err := loadAndCheck(t, text)
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: error %v, want %q in one line", text, err, want)
		}
	}
}

// The errors of a bad file can be distinguished without reading their text.
func TestConfigErrorsAreTyped(t *testing.T) {
	for text, want := range map[string]error{
		"":                                    opensearch.ErrEmptyFile,
		"listen: x":                           opensearch.ErrNoIndices,
		"indices: {a: {class: route-lookup}}": opensearch.ErrNoListenAddress,
	} {
		if err := loadAndCheck(t, text); !errors.Is(err, want) {
			t.Errorf("%q: error %v, want %v", text, err, want)
		}
	}
	var file *opensearch.FileError
	if err := loadAndCheck(t, "listen: x\ncolour: y"); !errors.As(err, &file) || filepath.Base(file.Path) !=
		"opensearch.yaml" || !errors.As(err, new(*yaml.TypeError)) {
		t.Errorf("error %v, want a FileError with the decoder's cause", err)
	}
	var entry *opensearch.EntryError
	err := loadAndCheck(t, "listen: x\nindices: {a: {class: c}}")
	if !errors.As(err, &entry) || entry.Entry != "index a" || entry.Reason == "" {
		t.Errorf("error %v, want an EntryError of index a", err)
	}
}

// A first phase is only for searches of an idempotent class, and must name the field that holds a document's version.
func TestCheckTwoPhase(t *testing.T) {
	free := scatter.Class{Name: "free", Deadline: time.Second}
	keyed, once := free, free
	keyed.Name, keyed.Idempotency = "guarded", scatter.Keyed
	once.Name, once.Idempotency = "once", scatter.NonIdempotent
	set := scatter.Settings{Classes: []scatter.Class{free, keyed, once}}
	for _, tc := range []struct {
		index opensearch.Index
		want  string // text that the error must contain; empty for no error
	}{
		{opensearch.Index{Class: "free", TwoPhase: &opensearch.TwoPhase{VersionField: "updated"}}, ""},
		{opensearch.Index{Class: "free", TwoPhase: &opensearch.TwoPhase{}}, "two_phase has to name the field"},
		{opensearch.Index{Class: "free", TwoPhase: &opensearch.TwoPhase{VersionField: "a*"}}, "no name of a field"},
		{opensearch.Index{Class: "guarded", TwoPhase: &opensearch.TwoPhase{VersionField: "v"}},
			"which class guarded does not bear"},
		{opensearch.Index{Class: "once", TakesDocuments: true, TwoPhase: &opensearch.TwoPhase{VersionField: "v"}},
			"takes reports"},
	} {
		c := &opensearch.Config{Listen: "x", Indices: map[string]*opensearch.Index{"i": &tc.index}}
		err := c.Check(set, 4)
		if (err == nil) != (tc.want == "") || err != nil && !strings.Contains(err.Error(), tc.want) {
			t.Errorf("index %+v: error %v, want %q", tc.index, err, tc.want)
		}
		if classes := c.TwoPhaseClasses(); err == nil && (len(classes) != 1 || classes[0] != "free") {
			t.Errorf("classes with a first phase: %q, want only free", classes)
		}
	}
}
