package inventory

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"

	"harepass/internal/inputfile"
)

// Bounds of the walk through a file. A file decides how often a group is read: aliases that each name the one before
// twice double the work with each line.
const (
	maxGroupDepth = 100     // groups within each other
	maxPairs      = 500_000 // pairs of mappings that are read, each as often as groups or aliases lead to it
)

const (
	// allHosts is the group that every host belongs to.
	allHosts = "all"
	// variablePrefix is the prefix of variables that only harepass uses.
	variablePrefix = "harepass_"
)

// variables maps the host and group variables that this package reads to the columns that they correspond to. The
// endpoint's port needs its own variable because ansible_port is the SSH port.
var variables = map[string]string{
	"ansible_host":          columnAddress,
	variablePrefix + "port": columnPort,
	variablePrefix + "cell": columnCell,
	variablePrefix + "zone": columnZone,
	variablePrefix + "api":  columnAPI,
}

// Keys of a group.
const (
	keyVars     = "vars"
	keyHosts    = "hosts"
	keyChildren = "children"
)

// ansibleHost is a host with the values from all groups that name it.
type ansibleHost struct {
	line     int               // line that first names the host
	values   map[string]string // by column
	selected bool              // the host belongs to the selected group
}

// ansibleFile is an Ansible inventory while it is read.
type ansibleFile struct {
	*file
	group      string // the selected group
	groupFound bool
	hosts      map[string]*ansibleHost
	order      []string // host names in the order of their first mention; readAnsible adds hosts in this order

	path  map[*yaml.Node]bool // bodies of the groups that are being read, from the outermost to the current one
	pairs int                 // pairs of mappings that were read so far
}

// readAnsible reads the hosts of one group of an Ansible inventory, or all hosts if group is empty.
func (f *file) readAnsible(data []byte, group string) error {
	if line, err := inputfile.CheckYAML(data); err != nil {
		return f.errorAt(line, "%v", err)
	}
	var doc yaml.Node
	if err := yaml.Unmarshal(data, &doc); err != nil {
		return f.yamlError(err)
	}
	if len(doc.Content) == 0 {
		return f.errorAt(1, "empty file")
	}
	if group == "" {
		group = allHosts
	}
	a := &ansibleFile{file: f, group: group, hosts: map[string]*ansibleHost{}, path: map[*yaml.Node]bool{}}
	if err := a.readGroups(doc.Content[0], nil, false); err != nil {
		return err
	}
	if !a.groupFound && group != allHosts {
		return f.errorAt(1, "no group %q", group)
	}
	for _, name := range a.order {
		if h := a.hosts[name]; h.selected || group == allHosts {
			if err := f.add(h.line, name, h.values); err != nil {
				return err
			}
		}
	}
	return nil
}

// yamlError converts an error of the YAML library to an *Error. The library gives the line only in the error's text.
func (f *file) yamlError(err error) error {
	text := strings.TrimPrefix(err.Error(), "yaml: ")
	if place, ok := strings.CutPrefix(text, "line "); ok {
		number, fault, _ := strings.Cut(place, ": ")
		if line, err := strconv.Atoi(number); err == nil {
			return f.errorAt(line, "%s", fault)
		}
	}
	return f.errorAt(1, "%s", text)
}

// resolve returns the node that an alias names, or any other node itself.
func resolve(n *yaml.Node) *yaml.Node {
	if n.Kind == yaml.AliasNode {
		return n.Alias
	}
	return n
}

// eachPair calls do for each pair of a mapping until do returns an error. An empty value counts as an empty mapping.
// what names the mapping in an error.
func (a *ansibleFile) eachPair(n *yaml.Node, what string, do func(key, value *yaml.Node) error) error {
	n = resolve(n)
	if n.Kind == yaml.ScalarNode && n.Tag == "!!null" {
		return nil
	}
	if n.Kind != yaml.MappingNode {
		return a.errorAt(n.Line, "%s is no mapping", what)
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		if a.pairs++; a.pairs > maxPairs {
			return a.errorAt(n.Content[i].Line, "groups and aliases lead to over %d entries", maxPairs)
		}
		if err := do(n.Content[i], n.Content[i+1]); err != nil {
			return err
		}
	}
	return nil
}

// readGroups reads a mapping of groups. outer holds the values of the parent group; a group's own values override them,
// and a host's own values override both. selected reports that the parent belongs to the selected group.
func (a *ansibleFile) readGroups(n *yaml.Node, outer map[string]string, selected bool) error {
	return a.eachPair(n, "the list of groups", func(name, body *yaml.Node) error {
		if err := a.enterGroup(name.Value, body); err != nil {
			return err
		}
		defer delete(a.path, resolve(body))
		return a.readGroup(name.Value, body, outer, selected)
	})
}

// enterGroup adds a group to the path. A group that is on the path already contains itself, by way of an alias, and
// reading it would not end.
func (a *ansibleFile) enterGroup(name string, body *yaml.Node) error {
	if a.path[resolve(body)] {
		return a.errorAt(body.Line, "group %s: the group contains itself", name)
	}
	if len(a.path) == maxGroupDepth {
		return a.errorAt(body.Line, "group %s: over %d groups within each other", name, maxGroupDepth)
	}
	a.path[resolve(body)] = true
	return nil
}

// readGroup reads one group. It reads the variables first because the group's hosts and children inherit them.
func (a *ansibleFile) readGroup(name string, body *yaml.Node, outer map[string]string, selected bool) error {
	if name == a.group {
		a.groupFound, selected = true, true
	}
	sections, err := a.sectionsOf(name, body)
	if err != nil {
		return err
	}
	values := map[string]string{}
	maps.Copy(values, outer)
	if vars := sections[keyVars]; vars != nil {
		if err := a.readVariables(vars, "vars of "+name, values); err != nil {
			return err
		}
	}
	if hosts := sections[keyHosts]; hosts != nil {
		if err := a.readHosts(hosts, name, values, selected); err != nil {
			return err
		}
	}
	if children := sections[keyChildren]; children != nil {
		return a.readGroups(children, values, selected)
	}
	return nil
}

// sectionsOf returns the values of a group's keys vars, hosts and children. Any other key is an error.
func (a *ansibleFile) sectionsOf(group string, body *yaml.Node) (map[string]*yaml.Node, error) {
	sections := map[string]*yaml.Node{}
	err := a.eachPair(body, "group "+group, func(key, value *yaml.Node) error {
		if !slices.Contains([]string{keyVars, keyHosts, keyChildren}, key.Value) {
			return a.errorAt(key.Line, "group %s: unknown key %q, want hosts, vars or children", group, key.Value)
		}
		sections[key.Value] = value
		return nil
	})
	return sections, err
}

// readHosts reads the hosts of a group. inherited holds the group's values, including those of its parent groups. If
// several groups name a host, the first value that it inherits for a column wins, in the file's order. The host's own
// values override inherited ones, and the last of its own values for a column wins.
func (a *ansibleFile) readHosts(n *yaml.Node, group string, inherited map[string]string, selected bool) error {
	return a.eachPair(n, "hosts of "+group, func(name, body *yaml.Node) error {
		if strings.Contains(name.Value, "[") {
			return a.errorAt(name.Line, "host %q: ranges are not read, each node has a cell of its own", name.Value)
		}
		h := a.hosts[name.Value]
		if h == nil {
			h = &ansibleHost{line: name.Line, values: map[string]string{}}
			a.hosts[name.Value] = h
			a.order = append(a.order, name.Value)
		}
		for column, value := range inherited {
			if h.values[column] == "" {
				h.values[column] = value
			}
		}
		h.selected = h.selected || selected
		return a.readVariables(body, "host "+name.Value, h.values)
	})
}

// readVariables reads the variables that this package knows and ignores those of other tools. An unknown variable with
// the prefix of harepass is an error, because it is most likely misspelt.
func (a *ansibleFile) readVariables(n *yaml.Node, what string, values map[string]string) error {
	return a.eachPair(n, what, func(key, value *yaml.Node) error {
		if column := variables[key.Value]; column != "" {
			if value.Kind != yaml.ScalarNode {
				return a.errorAt(value.Line, "%s: %s is no plain value", what, key.Value)
			}
			values[column] = value.Value
		} else if strings.HasPrefix(key.Value, variablePrefix) {
			return a.errorAt(key.Line, "%s: unknown variable %s", what, key.Value)
		}
		return nil
	})
}
