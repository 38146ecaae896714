package wire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"harepass"
)

// Limits are the settings that bind the root round the module rather than the module.
type Limits struct {
	Shards         int
	Open           int // queries and parts held at once
	Streams        int // calls that one connection carries at once
	ConnectTimeout time.Duration
	KeepAlive      time.Duration
}

// JSONSettings reads the settings where they stand as nested JSON: the same object as the facts of a
// provision line, with the same names and units.
func JSONSettings(raw []byte) (harepass.Settings, Limits, error) {
	vals, err := Flatten(raw)
	if err != nil {
		return harepass.Settings{}, Limits{}, fmt.Errorf("settings: %w", err)
	}
	f := &fields{name: "settings", vals: vals}
	s := settings(f)
	l := Limits{Shards: f.optNum("family_info.shards", 0), Open: f.optNum("caps.open_cap", 0), Streams: f.optNum("caps.streams_per_conn", 1),
		ConnectTimeout: f.optUS("caps.connect_timeout_us"), KeepAlive: f.optUS("caps.keepalive_us")}
	return s, l, f.err
}

// Flatten gives a JSON value as paths with their values.
func Flatten(raw []byte) (map[string]string, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	var tree any
	if err := dec.Decode(&tree); err != nil {
		return nil, err
	}
	vals := map[string]string{}
	flatten(vals, "", tree)
	return vals, nil
}

// flatten writes a JSON value as the wire does: paths with dots, plain lists joined with commas, lists of
// objects with their count.
func flatten(vals map[string]string, path string, v any) {
	join := func(key string) string { return strings.TrimPrefix(path+"."+key, ".") }
	switch v := v.(type) {
	case map[string]any:
		for k, x := range v {
			flatten(vals, join(k), x)
		}
	case []any:
		var plain []string
		for i, x := range v {
			if _, object := x.(map[string]any); object {
				flatten(vals, join(strconv.Itoa(i)), x)
				vals[join("count")] = strconv.Itoa(len(v))
			} else {
				plain = append(plain, fmt.Sprint(x))
			}
		}
		if len(plain) > 0 {
			vals[path] = strings.Join(plain, ",")
		}
	case nil:
	default:
		vals[path] = fmt.Sprint(v)
	}
}
