// Package inventory reads the list of map nodes from a file as configuration tools keep it: CSV with a
// header row, or YAML in Ansible's inventory layout.
package inventory

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Host is one map node.
type Host struct {
	Name         string
	Address      string // host:port
	RingPosition int
	Zone         string
	API          string // one of APIs
	line         int
}

// APIs are what a map node may speak.
var APIs = []string{"frame", "opensearch"}

// Error is a fault at a place of the file.
type Error struct {
	File string
	Line int
	Text string
}

func (e *Error) Error() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Text) }

// Load reads a file by its ending: .csv, or .yml and .yaml, of which it takes the hosts of one group
// ("all" if none is named). Cells count from 0 to cells-1.
func Load(path, group string, cells int) ([]Host, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	f := &file{path: path, cells: cells}
	switch strings.ToLower(filepath.Ext(path)) {
	case ".csv":
		err = f.readCSV(data)
	case ".yml", ".yaml":
		err = f.readYAML(data, group)
	default:
		return nil, fmt.Errorf("%s: neither .csv nor .yml or .yaml", path)
	}
	if err != nil {
		return nil, err
	}
	if len(f.hosts) == 0 {
		return nil, f.bad(1, "no hosts")
	}
	return f.hosts, nil
}

type file struct {
	path  string
	cells int
	hosts []Host
}

func (f *file) bad(line int, format string, args ...any) error {
	return &Error{f.path, line, fmt.Sprintf(format, args...)}
}

// add checks one host's values and takes it.
func (f *file) add(line int, name string, vals map[string]string) error {
	h := Host{Name: name, Zone: vals["zone"], API: vals["api"], line: line}
	if name == "" || strings.ContainsAny(name, " \t") {
		return f.bad(line, "host name %q is empty or holds a space", name)
	}
	if i := slices.IndexFunc(f.hosts, func(o Host) bool { return o.Name == name }); i >= 0 {
		return f.bad(line, "host %s stands already on line %d", name, f.hosts[i].line)
	}
	port, err := strconv.Atoi(vals["port"])
	if err != nil || port < 1 || port > 65535 {
		return f.bad(line, "host %s: port %q is not a number from 1 to 65535", name, vals["port"])
	}
	if vals["address"] == "" {
		vals["address"] = name
	}
	h.Address = net.JoinHostPort(vals["address"], strconv.Itoa(port))
	if h.RingPosition, err = strconv.Atoi(vals["cell"]); err != nil || h.RingPosition < 0 || h.RingPosition >= f.cells {
		return f.bad(line, "host %s: cell %q is not a number from 0 to %d", name, vals["cell"], f.cells-1)
	}
	if h.API == "" {
		h.API = APIs[0]
	}
	if !slices.Contains(APIs, h.API) {
		return f.bad(line, "host %s: api %q is none of %s", name, h.API, strings.Join(APIs, ", "))
	}
	f.hosts = append(f.hosts, h)
	return nil
}

var columns = []string{"name", "address", "port", "cell", "zone", "api"}

func (f *file) readCSV(data []byte) error {
	r := csv.NewReader(bytes.NewReader(bytes.TrimPrefix(data, []byte("\ufeff"))))
	r.TrimLeadingSpace = true
	r.Comment = '#'
	header, err := r.Read()
	if err != nil {
		return f.csvError(err)
	}
	for i, c := range header {
		header[i] = strings.ToLower(strings.TrimSpace(c))
		if !slices.Contains(columns, header[i]) {
			return f.bad(1, "unknown column %q, want %s", c, strings.Join(columns, ", "))
		}
		if slices.Contains(header[:i], header[i]) {
			return f.bad(1, "column %q stands twice", c)
		}
	}
	for _, c := range []string{"name", "port", "cell"} {
		if !slices.Contains(header, c) {
			return f.bad(1, "no column %q", c)
		}
	}
	for {
		row, err := r.Read()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return f.csvError(err)
		}
		vals := map[string]string{}
		for i, v := range row {
			vals[header[i]] = strings.TrimSpace(v)
		}
		line, _ := r.FieldPos(0)
		if err := f.add(line, vals["name"], vals); err != nil {
			return err
		}
	}
}

func (f *file) csvError(err error) error {
	var bad *csv.ParseError
	switch {
	case errors.As(err, &bad):
		return f.bad(bad.Line, "%v", bad.Err)
	case err == io.EOF:
		return f.bad(1, "no header row")
	}
	return err
}

// variables of Ansible hosts and groups, by the value they give. An Ansible inventory's ansible_port is
// SSH's, so the node's own port has a name of ours.
var variables = map[string]string{"ansible_host": "address", "harepass_port": "port", "harepass_cell": "cell",
	"harepass_zone": "zone", "harepass_api": "api"}

// found is a host as gathered from all groups that name it.
type found struct {
	line int
	vals map[string]string
}

type tree struct {
	*file
	order []string // of first naming
	hosts map[string]*found
	in    map[string]bool // hosts of the wanted group
	want  string
	seen  bool // the wanted group
}

func (f *file) readYAML(data []byte, group string) error {
	var doc yaml.Node
	if err := yaml.Unmarshal(data, &doc); err != nil {
		return f.yamlError(err)
	}
	if len(doc.Content) == 0 {
		return f.bad(1, "empty file")
	}
	if group == "" {
		group = "all"
	}
	t := &tree{file: f, hosts: map[string]*found{}, in: map[string]bool{}, want: group}
	if err := t.groups(doc.Content[0], nil, false); err != nil {
		return err
	}
	if !t.seen && group != "all" {
		return f.bad(1, "no group %q", group)
	}
	for _, name := range t.order {
		if h := t.hosts[name]; t.in[name] || group == "all" {
			if err := f.add(h.line, name, h.vals); err != nil {
				return err
			}
		}
	}
	return nil
}

// yamlError finds the line in the library's words.
func (f *file) yamlError(err error) error {
	text := strings.TrimPrefix(err.Error(), "yaml: ")
	if rest, ok := strings.CutPrefix(text, "line "); ok {
		number, words, _ := strings.Cut(rest, ": ")
		if line, err := strconv.Atoi(number); err == nil {
			return f.bad(line, "%s", words)
		}
	}
	return f.bad(1, "%s", text)
}

// each walks a mapping; an empty value counts as an empty mapping.
func (t *tree) each(n *yaml.Node, what string, do func(key, value *yaml.Node) error) error {
	if n.Kind == yaml.AliasNode {
		n = n.Alias
	}
	if n.Kind == yaml.ScalarNode && n.Tag == "!!null" {
		return nil
	}
	if n.Kind != yaml.MappingNode {
		return t.bad(n.Line, "%s is no mapping", what)
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		if err := do(n.Content[i], n.Content[i+1]); err != nil {
			return err
		}
	}
	return nil
}

// groups reads a mapping of groups. Variables of outer groups give way to those of inner ones, and those
// to the host's own.
func (t *tree) groups(n *yaml.Node, outer map[string]string, inside bool) error {
	return t.each(n, "the list of groups", func(name, body *yaml.Node) error {
		in, vals := inside || name.Value == t.want, map[string]string{}
		t.seen = t.seen || name.Value == t.want
		for k, v := range outer {
			vals[k] = v
		}
		parts := map[string]*yaml.Node{}
		err := t.each(body, "group "+name.Value, func(key, value *yaml.Node) error {
			if !slices.Contains([]string{"vars", "hosts", "children"}, key.Value) {
				return t.bad(key.Line, "group %s: unknown key %q, want hosts, vars or children", name.Value, key.Value)
			}
			parts[key.Value] = value
			return nil
		})
		if err != nil {
			return err
		}
		if v := parts["vars"]; v != nil {
			if err := t.vars(v, "vars of "+name.Value, vals); err != nil {
				return err
			}
		}
		if h := parts["hosts"]; h != nil {
			if err := t.hostsOf(h, name.Value, vals, in); err != nil {
				return err
			}
		}
		if c := parts["children"]; c != nil {
			return t.groups(c, vals, in)
		}
		return nil
	})
}

func (t *tree) hostsOf(n *yaml.Node, group string, vals map[string]string, in bool) error {
	return t.each(n, "hosts of "+group, func(name, body *yaml.Node) error {
		if strings.Contains(name.Value, "[") {
			return t.bad(name.Line, "host %q: ranges are not read, each node has a cell of its own", name.Value)
		}
		h := t.hosts[name.Value]
		if h == nil {
			h = &found{line: name.Line, vals: map[string]string{}}
			t.hosts[name.Value] = h
			t.order = append(t.order, name.Value)
		}
		for k, v := range vals {
			if h.vals[k] == "" {
				h.vals[k] = v
			}
		}
		t.in[name.Value] = t.in[name.Value] || in
		return t.vars(body, "host "+name.Value, h.vals)
	})
}

// vars takes the variables that mean something here and leaves the others to the tools they are for.
func (t *tree) vars(n *yaml.Node, what string, vals map[string]string) error {
	return t.each(n, what, func(key, value *yaml.Node) error {
		if name := variables[key.Value]; name != "" {
			if value.Kind != yaml.ScalarNode {
				return t.bad(value.Line, "%s: %s is no plain value", what, key.Value)
			}
			vals[name] = value.Value
		} else if strings.HasPrefix(key.Value, "harepass_") {
			return t.bad(key.Line, "%s: unknown variable %s", what, key.Value)
		}
		return nil
	})
}
