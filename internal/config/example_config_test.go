package config

import (
	"encoding/json"
	"os"
	"testing"
)

// exampleSettings returns the contents of the example settings file.
func exampleSettings(t testing.TB) []byte {
	t.Helper()
	data, err := os.ReadFile("../../deploy/settings.example.json")
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// exampleFile returns a platform file, in the form that the platform writes, with the example settings.
func exampleFile(t testing.TB) map[string]any {
	var settings any
	if err := json.Unmarshal(exampleSettings(t), &settings); err != nil {
		t.Fatal(err)
	}
	return map[string]any{"name": "n1", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "1f",
		"known":    map[string]any{"index": 1, "snapshot": true},
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 384},
		"settings": settings}
}

// marshal encodes a configuration as JSON.
func marshal(t testing.TB, file any) []byte {
	data, err := json.Marshal(file)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// emptyEnvironment sets no variable.
func emptyEnvironment(string) string { return "" }

// mustRead returns the Config of a valid platform file.
func mustRead(t testing.TB, data []byte) *Config {
	c, err := readPlatform(data, emptyEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	return c
}
