package inventory

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// load writes text to a file with the given name and loads it.
func load(t *testing.T, name, text, group string) ([]Host, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(path, group, 12)
}

const csvText = "\ufeffname, address, port, cell, api\n# the north slope\n" +
	"node01, 127.0.0.11, 9200, 0, opensearch\n\nnode02,127.0.0.12,8080,1,\n"

const yamlText = `
all:
  vars:
    harepass_port: 8080
    ntp_server: 127.0.0.1
  children:
    coordinators:
      hosts:
        c1: {harepass_cell: 0}
    map_nodes:
      vars: {harepass_api: frame}
      children:
        north:
          vars: {harepass_api: opensearch, harepass_port: 9200}
          hosts:
            node01: {ansible_host: 127.0.0.11, harepass_cell: 0}
        south:
          hosts:
            node02: {ansible_host: 127.0.0.12, harepass_cell: 1}
`

// A CSV file and a YAML file of the same inventory give equal hosts.
func TestBothFormatsGiveEqualHosts(t *testing.T) {
	want := []Host{{Name: "node01", Address: "127.0.0.11:9200", RingPosition: 0, API: "opensearch"},
		{Name: "node02", Address: "127.0.0.12:8080", RingPosition: 1, API: "frame"}}
	for _, tc := range []struct{ name, text string }{{"nodes.csv", csvText}, {"nodes.yml", yamlText}} {
		got, err := load(t, tc.name, tc.text, "map_nodes")
		if err != nil || len(got) != 2 || got[0] != want[0] || got[1] != want[1] {
			t.Errorf("%s: hosts %+v, error %v; want hosts %+v", tc.name, got, err, want)
		}
	}
	if got, err := load(t, "nodes.yaml", yamlText, ""); err != nil || len(got) != 3 {
		t.Errorf("without a group: hosts %+v, error %v; want all 3 hosts", got, err)
	}
}

// Load returns an *Error that names file, line and fault for a faulty file.
func TestFaultsNameFileAndLine(t *testing.T) {
	for _, tc := range []struct{ name, text, want string }{
		{"a.csv", "", "a.csv:1: no header row"},
		{"a.csv", "name,port,cell\n", "a.csv:1: no hosts"},
		{"a.csv", "name,port\n", `a.csv:1: no column "cell"`},
		{"a.csv", "name,port,cell,colour\n", `a.csv:1: unknown column "colour"`},
		{"a.csv", "name,port,cell,port\n", `a.csv:1: column "port" stands twice`},
		{"a.csv", "name,port,cell\na,1,0\nb,1\n", "a.csv:3: wrong number of fields"},
		{"a.csv", "name,port,cell\na,1,0\na,2,1\n", "a.csv:3: host a stands already on line 2"},
		{"a.csv", "name,port,cell\na,1,12\n", `a.csv:2: host a: cell "12" is not a number from 0 to 11`},
		{"a.csv", "name,port,cell\na,http,0\n", `a.csv:2: host a: port "http"`},
		{"a.csv", "name,port,cell,api\na,1,0,soap\n", `a.csv:2: host a: api "soap" is none of frame, opensearch`},
		{"a.csv", "name,port,cell\na b,1,0\n", `a.csv:2: host name "a b"`},
		{"a.yml", "", "a.yml:1: empty file"},
		{"a.yml", "all:\n  hosts: [a]\n", "a.yml:2: hosts of all is no mapping"},
		{"a.yml", "all:\n  hosts:\n    a: {harepass_port: 1, harepass_cell: x}\n", `a.yml:3: host a: cell "x"`},
		{"a.yml", "all:\n  hosts:\n    a: {harepass_prot: 1}\n", "a.yml:3: host a: unknown variable harepass_prot"},
		{"a.yml", "all:\n  hosts:\n    n[1:3]: {}\n", `a.yml:3: host "n[1:3]": ranges`},
		{"a.yml", "all:\n  host:\n", `a.yml:2: group all: unknown key "host"`},
		{"a.yml", "all:\n\thosts:\n", "a.yml:2: found character that cannot start any token"},
		{"a.yml", "all:\n  hosts:\n    a: {harepass_port: [1]}\n", "a.yml:3: host a: harepass_port is no plain value"},
	} {
		_, err := load(t, tc.name, tc.text, "")
		var fault *Error
		if !errors.As(err, &fault) || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%q: error %v, want an *Error that contains %q", tc.text, err, tc.want)
		}
	}
	_, err := load(t, "a.yml", "all:\n  hosts: {}\n", "map_nodes")
	if err == nil || !strings.Contains(err.Error(), `no group "map_nodes"`) {
		t.Errorf("missing group: error %v", err)
	}
	if _, err := load(t, "a.ini", "x", ""); !errors.Is(err, ErrUnknownFormat) {
		t.Errorf("unknown extension: error %v, want ErrUnknownFormat", err)
	}
}
