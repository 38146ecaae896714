package config

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// The example file shows operators the defaults, so it says just these.
func TestRelayExampleShowsDefaults(t *testing.T) {
	example, err := LoadRelay("../../deploy/relay.example.yaml")
	if err != nil {
		t.Fatal(err)
	}
	example.Sources = nil
	if got, want := fmt.Sprintf("%+v", *example), fmt.Sprintf("%+v", defaultRelay); got != want {
		t.Errorf("the example says %s, the defaults are %s", got, want)
	}
}

// Faults of the addresses and of the limits are reported together, and each keeps its type.
func TestRelayFaultsAreTypedErrors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "relay.yaml")
	if err := os.WriteFile(path, []byte("readers: 0"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := LoadRelay(path)
	var invalid *InvalidError
	var file *FileError
	var bound *RangeError
	if !errors.As(err, &invalid) || !errors.As(err, &file) || file.Path != path || !errors.Is(err, ErrNoSources) ||
		!errors.As(err, &bound) || bound.Key != "readers" {
		t.Errorf("no sources and no readers: %v", err)
	}
}
