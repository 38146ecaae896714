package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
)

// example is a configuration as the platform writes it, with the example's settings.
func example(t testing.TB) map[string]any {
	data, err := os.ReadFile("../../deploy/settings.example.json")
	if err != nil {
		t.Fatal(err)
	}
	var settings any
	if err := json.Unmarshal(data, &settings); err != nil {
		t.Fatal(err)
	}
	return map[string]any{"name": "n1", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "1f", "known": map[string]any{"index": 1, "snapshot": true},
		"limits": map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 384}, "settings": settings}
}

func text(t testing.TB, conf any) []byte {
	data, err := json.Marshal(conf)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func none(string) string { return "" }

// reread is what a reload does with a file before anything is taken over.
func reread(inForce *setup, data []byte) ([]string, error) {
	next := &setup{}
	if err := next.readPlatform(data, none); err != nil {
		return nil, err
	}
	return inForce.replacedBy(next)
}

func begun(t testing.TB, data []byte) *setup {
	s := &setup{}
	if err := s.readPlatform(data, none); err != nil {
		t.Fatal(err)
	}
	return s
}

// each visits all values of a JSON tree with a way to take them out or to put another in their place.
func each(path string, v any, visit func(path string, v any, put func(x any), remove func())) {
	switch v := v.(type) {
	case map[string]any:
		for _, k := range slices.Sorted(maps.Keys(v)) {
			x := v[k]
			visit(path+"."+k, x, func(y any) { v[k] = y }, func() { delete(v, k) })
			v[k] = x
			each(path+"."+k, x, visit)
		}
	case []any:
		for i, x := range v {
			visit(fmt.Sprintf("%s.%d", path, i), x, func(y any) { v[i] = y }, nil)
			v[i] = x
			each(fmt.Sprintf("%s.%d", path, i), x, visit)
		}
	}
}

// A file that is empty, cut off anywhere, lacks any key, or has a deadline or attempts not over 0, is refused; the whole
// one changes nothing.
func TestBrokenConfigurations(t *testing.T) {
	conf := example(t)
	good := text(t, conf)
	s := begun(t, good)
	if changes, err := reread(s, good); err != nil || len(changes) != 0 {
		t.Fatalf("the same file: %v, %v", changes, err)
	}
	for n := range good {
		if _, err := reread(s, good[:n]); err == nil {
			t.Errorf("the first %d bytes pass", n)
		}
	}
	lacked := 0
	each("", conf, func(path string, v any, put func(any), remove func()) {
		if remove != nil && !strings.HasPrefix(path, ".known.") && !strings.HasPrefix(path, ".limits.") {
			lacked++
			remove()
			if _, err := reread(s, text(t, conf)); err == nil {
				t.Errorf("without %s it passes", path)
			}
		}
		put(nil)
		if _, err := reread(s, text(t, conf)); err == nil && remove != nil && strings.HasPrefix(path, ".settings") {
			t.Errorf("with %s null it passes", path)
		}
		if key := path[strings.LastIndex(path, ".")+1:]; key == "hard_limit_us" || key == "most_tries" || key == "objective_us" {
			for _, x := range []any{0, -1, "", "soon", 1e300} {
				put(x)
				if _, err := reread(s, text(t, conf)); err == nil {
					t.Errorf("with %s = %v it passes", path, x)
				}
			}
		}
	})
	if lacked < 40 {
		t.Errorf("%d keys were looked at", lacked)
	}
	if _, err := reread(s, append(bytes.Clone(good), '}')); err == nil {
		t.Error("with something behind it, it passes")
	}
}

// What is taken over can be served, and has every class whole.
func FuzzReload(f *testing.F) {
	good := text(f, example(f))
	s := begun(f, good)
	f.Add(good)
	f.Add([]byte{})
	f.Add(good[:len(good)/2])
	for _, r := range [][2]string{{`"most_tries":4`, `"most_tries":0`}, {"3000000", "0"}, {`"route-lookup"`, `"new"`}, {"single_shot", "free"}, {"hard_limit_us", "soft"}, {"0.7", "1e999"},
		{`"positions":3`, `"positions":-3`}, {`"name":"route-lookup"`, `"name":"hazard-report"`}} {
		f.Add(bytes.Replace(good, []byte(r[0]), []byte(r[1]), 1))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		next := &setup{}
		if next.readPlatform(data, none) != nil {
			return
		}
		if _, err := s.replacedBy(next); err != nil {
			return
		}
		names := map[string]bool{}
		for _, c := range next.settings.Classes {
			if c.Name == "" || names[c.Name] || c.Deadline <= 0 || c.LatencyObjective <= 0 || next.settings.MaxAttempts < 1 {
				t.Errorf("class %+v, attempts %d", c, next.settings.MaxAttempts)
			}
			names[c.Name] = true
		}
	})
}

// The program takes new settings over on SIGHUP, keeps the old ones where the file is broken, and says so in one line.
func TestRetune(t *testing.T) {
	h := newHost(t)
	path := h.ConfigPath()
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	r := h.ready(h.begin())
	status := func(class string) int { return askClass(t, h.ClientListener.Addr().String(), class, 0) }
	reload := func(data []byte, line string) {
		t.Helper()
		n := strings.Count(r.Log(), line)
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		r.Process.Signal(syscall.SIGHUP)
		eventually(t, line, func() bool { return strings.Count(r.Log(), line) > n })
	}
	if a, b := status("route-lookup"), status("lift-status"); a != 200 || b != 400 {
		t.Errorf("before: %d and %d, want 200 and 400", a, b)
	}
	next := bytes.Replace(good, []byte(`"name":"route-lookup"`), []byte(`"name":"lift-status"`), 1)
	next = bytes.Replace(next, []byte(`"most_tries":4`), []byte(`"most_tries":2`), 1)
	reload(next, "configuration reloaded")
	for _, line := range []string{`what="classes: lift-status is new"`, `what="classes: route-lookup is gone"`, `what="caps.most_tries: 2, was 4"`} {
		if !strings.Contains(r.Log(), line) {
			t.Errorf("no line %s", line)
		}
	}
	for what, bad := range map[string][]byte{"empty": {}, "cut off": good[:len(good)-9],
		"no attempts": bytes.Replace(good, []byte(`"most_tries":4`), []byte(`"most_tries":0`), 1),
		"a key less":  bytes.Replace(good, []byte(`"late_worth":0.3,`), nil, 1)} {
		lines := strings.Count(r.Log(), "\n")
		if reload(bad, "configuration not reloaded"); strings.Count(r.Log(), "\n") != lines+1 {
			t.Errorf("%s: not one line", what)
		}
		if a, b := status("route-lookup"), status("lift-status"); a != 400 || b != 200 {
			t.Errorf("%s: %d and %d, want 400 and 200", what, a, b)
		}
	}
	reload(good, "configuration reloaded")
	if a, b := status("route-lookup"), status("lift-status"); a != 200 || b != 400 {
		t.Errorf("after: %d and %d, want 200 and 400", a, b)
	}
	h.end(r)
}

// check lists what a file would change in the one in force, and refuses a broken one.
func TestCheckAgainst(t *testing.T) {
	good, dir := text(t, example(t)), t.TempDir()
	old, next := filepath.Join(dir, "old.json"), filepath.Join(dir, "new.json")
	t.Setenv("PROXY_CONFIG", next)
	for what, tc := range map[string]struct {
		data   []byte
		status int
		want   string
	}{
		"the same":   {good, 0, "settings: 4 classes"},
		"another":    {bytes.Replace(good, []byte(`"most_tries":4`), []byte(`"most_tries":3`), 1), 0, "change: caps.most_tries: 3, was 4\n"},
		"a key less": {bytes.Replace(good, []byte(`"most_tries":4,`), nil, 1), 2, "most_tries"},
	} {
		if err := errors.Join(os.WriteFile(old, good, 0o600), os.WriteFile(next, tc.data, 0o600)); err != nil {
			t.Fatal(err)
		}
		var out, errs bytes.Buffer
		if status := run([]string{"check", "-against", old}, &out, &errs); status != tc.status || !strings.Contains(out.String()+errs.String(), tc.want) {
			t.Errorf("%s: status %d, %s%s", what, status, &out, &errs)
		}
	}
}
