package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// check and serve report the fault of a distribution file in one line. A valid file is read, and so is the example.
func TestDistributionFile(t *testing.T) {
	t.Setenv("PROXY_CONFIG", "")
	dir := t.TempDir()
	for what, tc := range map[string]struct{ text, want string }{
		"the least":      {"sources: [{address: 'h:1'}]", ""},
		"no sources":     {"zone: a", "no sources"},
		"a bad address":  {"sources: [{address: h}]", "missing port"},
		"a source twice": {"sources: [{address: 'h:1'}, {address: 'h:1'}]", "source h:1 stands twice"},
		"an unknown key": {"sources: [{address: 'h:1'}]\nsorces: 1", "field sorces not found"},
		"resources": {"sources: [{address: 'h:1'}]\nresources: [lists]",
			`resource "lists" is neither nodes nor settings`},
		"none":         {"sources: [{address: 'h:1'}]\nresources: []", "no resources"},
		"a heartbeat":  {"sources: [{address: 'h:1'}]\nheartbeat: 1ms", "heartbeat 1ms has to be from"},
		"an allowance": {"sources: [{address: 'h:1'}]\nallowance: 1h", "allowance 1h0m0s has to be from"},
	} {
		path := filepath.Join(dir, "d.yaml")
		if err := os.WriteFile(path, []byte(tc.text), 0o600); err != nil {
			t.Fatal(err)
		}
		f, err := loadDistribution(&fileSet{}, path)
		switch {
		case tc.want == "" && (err != nil || !f.Takes(ResourceEndpoints) || !f.Takes(ResourceSettings)):
			t.Errorf("%s: loaded %+v, error %v; want both resources", what, f, err)
		case tc.want != "" && (err == nil || !strings.Contains(err.Error(), tc.want) ||
			strings.Contains(err.Error(), "\n")):
			t.Errorf("%s: error %v, want one line with %q", what, err, tc.want)
		}
	}
	if f, err := loadDistribution(&fileSet{}, "../../deploy/distribution.example.yaml"); err != nil || len(f.Sources) < 3 {
		t.Errorf("example file: %+v, error %v; want at least 3 sources", f, err)
	}
	f, err := loadDistribution(&fileSet{}, DefaultDistributionPath)
	if f != nil || err != nil || f.Takes(ResourceEndpoints) {
		t.Errorf("missing file at the default path: %+v, error %v; want nil and no error", f, err)
	}
}

// Scripts read the decoders' messages, in which the library prints the Go type's name, so renaming a type would change
// them. The messages print a fixed name instead, and the caller can still unwrap the cause.
func TestDecodeErrorsKeepTypeNames(t *testing.T) {
	for want, decode := range map[string]func() error{
		"d: yaml: unmarshal errors: line 1: field x not found in type main.distributionFile": func() error {
			return decodeYAML("d", []byte("x: 1"), &DistributionFile{})
		},
		"d: yaml: unmarshal errors: line 1: cannot unmarshal !!int `5` into main.relaySource": func() error {
			return decodeYAML("d", []byte("sources: [5]"), &RelayFile{})
		},
		"json: cannot unmarshal number into Go struct field config.name of type string": func() error {
			return decodeJSON([]byte(`{"name":5}`), &PlatformFile{})
		},
	} {
		err := decode()
		if err == nil || err.Error() != want {
			t.Errorf("error %v, want %s", err, want)
		}
		var rendered *renderedError
		if !errors.As(err, &rendered) || rendered.Unwrap() == nil {
			t.Errorf("error %v does not wrap its cause", err)
		}
	}
}
