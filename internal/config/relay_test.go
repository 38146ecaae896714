package config

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// The example file shows operators the default values, so its values have to equal the defaults.
func TestRelayExampleShowsDefaults(t *testing.T) {
	example, err := LoadRelay(t.Context(), "../../deploy/relay.example.yaml")
	if err != nil {
		t.Fatal(err)
	}
	example.Sources = nil
	if got, want := fmt.Sprintf("%+v", *example), fmt.Sprintf("%+v", defaultRelay); got != want {
		t.Errorf("example file has %s, want the defaults %s", got, want)
	}
}

// LoadRelay reports faults of the addresses and of the limits together, and each keeps its type.
func TestRelayFaultsAreTypedErrors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "relay.yaml")
	if err := os.WriteFile(path, []byte("readers: 0"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := LoadRelay(t.Context(), path)
	var invalid *InvalidError
	var file *FileError
	var bound *RangeError
	if !errors.As(err, &invalid) || !errors.As(err, &file) || file.Path != path || !errors.Is(err, ErrNoSources) ||
		!errors.As(err, &bound) || bound.Key != "readers" {
		t.Errorf("file without sources and with 0 readers: error %v, want both faults", err)
	}
}
