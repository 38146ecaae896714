package wire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"harepass/internal/decide/scatter"
)

// Limits holds the settings that apply to the program around the decision module rather than to the module.
type Limits struct {
	Shards         int           // 0 if not set
	MaxOpen        int           // queries and parts open at once; 0 for no limit
	CallsPerConn   int           // calls that one connection to a replica carries at once
	ConnectTimeout time.Duration // for connections to replicas
	KeepAlive      time.Duration // time after which replicas close idle connections
}

// JSONSettings reads settings in nested JSON. The object corresponds to the fields of a provision line, with the same
// names and units.
func JSONSettings(raw []byte) (scatter.Settings, Limits, error) {
	values, err := Flatten(raw)
	if err != nil {
		return scatter.Settings{}, Limits{}, fmt.Errorf("settings: %w", err)
	}
	f := &fields{name: "settings", values: values}
	s := settings(f)
	l := Limits{
		Shards:         f.optionalInt("family_info.shards", 0),
		MaxOpen:        f.optionalInt("caps.open_cap", 0),
		CallsPerConn:   f.optionalInt("caps.streams_per_conn", 1),
		ConnectTimeout: f.optionalDuration("caps.connect_timeout_us"),
		KeepAlive:      f.optionalDuration("caps.keepalive_us"),
	}
	return s, l, f.err
}

// Flatten converts a JSON value to a map from paths to values, as in the simulator's lines.
func Flatten(raw []byte) (map[string]string, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var tree any
	if err := decoder.Decode(&tree); err != nil {
		return nil, err
	}
	values := map[string]string{}
	flatten(values, "", tree)
	return values, nil
}

// flatten adds a JSON value to values in the form of the simulator's lines: paths separated by dots, lists of plain
// values joined with commas, and lists of objects with their count.
func flatten(values map[string]string, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for key, x := range v {
			flatten(values, joinPath(path, key), x)
		}
	case []any:
		flattenList(values, path, v)
	case nil:
	default:
		values[path] = fmt.Sprint(v)
	}
}

func flattenList(values map[string]string, path string, list []any) {
	var plain []string
	for i, x := range list {
		if _, object := x.(map[string]any); object {
			flatten(values, joinPath(path, strconv.Itoa(i)), x)
			values[joinPath(path, "count")] = strconv.Itoa(len(list))
		} else {
			plain = append(plain, fmt.Sprint(x))
		}
	}
	if len(plain) > 0 {
		values[path] = strings.Join(plain, ",")
	}
}

func joinPath(path, key string) string { return strings.TrimPrefix(path+"."+key, ".") }
