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

// reread is what a reload does with a file before anything of it is in force.
func reread(inForce *Config, data []byte) ([]string, error) {
	next, err := readPlatform(data, emptyEnvironment)
	if err != nil {
		return nil, err
	}
	return inForce.Changes(next)
}

// visitJSON visits all values of a JSON tree, with ways to replace or to remove the value; an array's cannot be
// removed.
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

// A file is read while it is still being written, or was edited by hand with a mistake. One that is empty, cut off
// anywhere, lacks any key, or has a deadline or attempts not over 0, is refused; the complete one changes nothing.
func TestBrokenConfigurationIsRefused(t *testing.T) {
	file := exampleFile(t)
	good := marshal(t, file)
	inForce := mustRead(t, good)
	if changes, err := reread(inForce, good); err != nil || len(changes) != 0 {
		t.Fatalf("the same file: %v, %v", changes, err)
	}
	for n := range good {
		if _, err := reread(inForce, good[:n]); err == nil {
			t.Errorf("the first %d bytes pass", n)
		}
	}
	removed := 0
	visitJSON("", file, func(path string, v any, replace func(any), remove func()) {
		if remove != nil && !strings.HasPrefix(path, ".known.") && !strings.HasPrefix(path, ".limits.") {
			removed++
			remove()
			if _, err := reread(inForce, marshal(t, file)); err == nil {
				t.Errorf("without %s it passes", path)
			}
		}
		replace(nil)
		_, err := reread(inForce, marshal(t, file))
		if err == nil && remove != nil && strings.HasPrefix(path, ".settings") {
			t.Errorf("with %s null it passes", path)
		}
		key := path[strings.LastIndex(path, ".")+1:]
		if key == "hard_limit_us" || key == "most_tries" || key == "objective_us" {
			for _, x := range []any{0, -1, "", "soon", 1e300} {
				replace(x)
				if _, err := reread(inForce, marshal(t, file)); err == nil {
					t.Errorf("with %s = %v it passes", path, x)
				}
			}
		}
	})
	if removed < 40 {
		t.Errorf("%d keys were looked at", removed)
	}
	if _, err := reread(inForce, append(bytes.Clone(good), '}')); err == nil {
		t.Error("with something behind it, it passes")
	}
}

// A caller can tell a file without a top-level key from one whose settings lack something.
func TestMissingKeysAreTypedErrors(t *testing.T) {
	file := exampleFile(t)
	inForce := mustRead(t, marshal(t, file))
	delete(file, "name")
	_, err := reread(inForce, marshal(t, file))
	var key *MissingKeyError
	if !errors.As(err, &key) || key.Key != "name" {
		t.Errorf("without a name: %v", err)
	}
	file = exampleFile(t)
	delete(file["settings"].(map[string]any), "rules")
	_, err = reread(inForce, marshal(t, file))
	var settings *MissingSettingsError
	if !errors.As(err, &settings) || len(settings.Paths) == 0 {
		t.Errorf("without rules: %v", err)
	}
}

// What a reload takes over can be served, and has every class complete.
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
				t.Errorf("class %+v, attempts %d", c, next.Settings.MaxAttempts)
			}
			names[c.Name] = true
		}
	})
}
