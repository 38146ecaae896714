package config

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
)

// reread checks a file as a reload does before it applies the file.
func reread(inForce *Config, data []byte) ([]string, error) {
	next, err := readPlatform(data, emptyEnvironment)
	if err != nil {
		return nil, err
	}
	return inForce.Changes(next)
}

// visitJSON calls visit for each value of a JSON tree, with functions that replace or remove the value. remove is nil
// for the elements of an array.
func visitJSON(path string, v any, visit func(path string, v any, replace func(x any), remove func())) {
	switch v := v.(type) {
	case map[string]any:
		for _, k := range slices.Sorted(maps.Keys(v)) {
			x := v[k]
			visit(path+"."+k, x, func(y any) { v[k] = y }, func() { delete(v, k) })
			v[k] = x
			visitJSON(path+"."+k, x, visit)
		}
	case []any:
		for i, x := range v {
			visit(fmt.Sprintf("%s.%d", path, i), x, func(y any) { v[i] = y }, nil)
			v[i] = x
			visitJSON(fmt.Sprintf("%s.%d", path, i), x, visit)
		}
	}
}

// A reload may read a file that is still being written, or that has a mistake from editing by hand. A file that is
// empty, truncated at any byte, lacks any key, or has a deadline or number of attempts that is not above 0 is rejected;
// the complete file changes nothing.
func TestBrokenConfigurationIsRefused(t *testing.T) {
	file := exampleFile(t)
	good := marshal(t, file)
	inForce := mustRead(t, good)
	if changes, err := reread(inForce, good); err != nil || len(changes) != 0 {
		t.Fatalf("identical file: changes %v, error %v; want none", changes, err)
	}
	for n := range good {
		if _, err := reread(inForce, good[:n]); err == nil {
			t.Errorf("file truncated to %d bytes is accepted", n)
		}
	}
	removed := 0
	visitJSON("", file, func(path string, v any, replace func(any), remove func()) {
		if remove != nil && !strings.HasPrefix(path, ".known.") && !strings.HasPrefix(path, ".limits.") {
			removed++
			remove()
			if _, err := reread(inForce, marshal(t, file)); err == nil {
				t.Errorf("file without %s is accepted", path)
			}
		}
		replace(nil)
		_, err := reread(inForce, marshal(t, file))
		if err == nil && remove != nil && strings.HasPrefix(path, ".settings") {
			t.Errorf("file with %s null is accepted", path)
		}
		key := path[strings.LastIndex(path, ".")+1:]
		if key == "hard_limit_us" || key == "most_tries" || key == "objective_us" {
			for _, x := range []any{0, -1, "", "soon", 1e300} {
				replace(x)
				if _, err := reread(inForce, marshal(t, file)); err == nil {
					t.Errorf("file with %s = %v is accepted", path, x)
				}
			}
		}
	})
	if removed < 40 {
		t.Errorf("only %d keys were removed, want at least 40", removed)
	}
	if _, err := reread(inForce, append(bytes.Clone(good), '}')); err == nil {
		t.Error("file with trailing data is accepted")
	}
}

// A caller can distinguish a file without a top-level key from one whose settings lack a key.
func TestMissingKeysAreTypedErrors(t *testing.T) {
	file := exampleFile(t)
	inForce := mustRead(t, marshal(t, file))
	delete(file, "name")
	_, err := reread(inForce, marshal(t, file))
	var key *MissingKeyError
	if !errors.As(err, &key) || key.Key != "name" {
		t.Errorf("file without name: error %v, want a *MissingKeyError for name", err)
	}
	file = exampleFile(t)
	delete(file["settings"].(map[string]any), "rules")
	_, err = reread(inForce, marshal(t, file))
	var settings *MissingSettingsError
	if !errors.As(err, &settings) || len(settings.Paths) == 0 {
		t.Errorf("settings without rules: error %v, want a *MissingSettingsError", err)
	}
}

// Each configuration that a reload accepts is valid, and each of its classes is complete.
func FuzzReload(f *testing.F) {
	good := marshal(f, exampleFile(f))
	inForce := mustRead(f, good)
	f.Add(good)
	f.Add([]byte{})
	f.Add(good[:len(good)/2])
	for _, r := range [][2]string{{`"most_tries":4`, `"most_tries":0`}, {"3000000", "0"}, {`"route-lookup"`, `"new"`},
		{"single_shot", "free"}, {"hard_limit_us", "soft"}, {"0.7", "1e999"}, {`"positions":3`, `"positions":-3`},
		{`"name":"route-lookup"`, `"name":"hazard-report"`}} {
		f.Add(bytes.Replace(good, []byte(r[0]), []byte(r[1]), 1))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		next, err := readPlatform(data, emptyEnvironment)
		if err != nil {
			return
		}
		if _, err := inForce.Changes(next); err != nil {
			return
		}
		names := map[string]bool{}
		for _, c := range next.Settings.Classes {
			if c.Name == "" || names[c.Name] || c.Deadline <= 0 || c.LatencyObjective <= 0 ||
				next.Settings.MaxAttempts < 1 {
				t.Errorf("accepted class %+v with at most %d attempts", c, next.Settings.MaxAttempts)
			}
			names[c.Name] = true
		}
	})
}
