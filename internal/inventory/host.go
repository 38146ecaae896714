package inventory

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// Host is one endpoint of an inventory.
type Host struct {
	Name         string
	Address      string // host:port
	RingPosition int    // from 0 to the ring size less 1
	Zone         string // empty where the inventory names none
	API          string // scheme that the endpoint speaks: one of APIs
	line         int    // where the file names it first
}

// APIs are the schemes that an endpoint may speak, by core.Endpoint.Scheme. A host that names none speaks the first. It
// must not be changed.
var APIs = []string{"frame", "opensearch"}

// maxPort is the highest TCP port.
const maxPort = 65535

// ErrUnknownFormat is wrapped by Load's error for a file whose ending says neither CSV nor YAML.
var ErrUnknownFormat = errors.New("neither .csv nor .yml or .yaml")

// Error is a fault at a place of an inventory file.
type Error struct {
	File string // the path as it was given
	Line int    // from 1
	Text string // what is wrong there
}

// Error returns the place and the fault, as compilers do.
func (e *Error) Error() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Text) }

// Load reads the hosts of a file, in the file's order. The file's ending says its format: .csv, or .yml and .yaml, of
// which it takes the hosts of one group (all hosts where group is empty). Ring positions go from 0 to ringSize-1. The
// errors are an *Error, that of reading the file, or wrap ErrUnknownFormat.
func Load(path, group string, ringSize int) ([]Host, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	f := &file{path: path, ringSize: ringSize}
	switch strings.ToLower(filepath.Ext(path)) {
	case ".csv":
		err = f.readCSV(data)
	case ".yml", ".yaml":
		err = f.readAnsible(data, group)
	default:
		return nil, fmt.Errorf("%s: %w", path, ErrUnknownFormat)
	}
	if err != nil {
		return nil, err
	}
	if len(f.hosts) == 0 {
		return nil, f.errorAt(1, "no hosts")
	}
	return f.hosts, nil
}

// file is an inventory file that is being read.
type file struct {
	path     string
	ringSize int
	hosts    []Host // those that have been read and checked
}

// errorAt returns an *Error for a line.
func (f *file) errorAt(line int, format string, args ...any) error {
	return &Error{f.path, line, fmt.Sprintf(format, args...)}
}

// The columns of a CSV file, which are also the keys of a host's values in either format.
const (
	columnName    = "name"
	columnAddress = "address"
	columnPort    = "port"
	columnCell    = "cell"
	columnZone    = "zone"
	columnAPI     = "api"
)

// add checks a host's values, by column, and appends it. line is where the file names it first.
func (f *file) add(line int, name string, values map[string]string) error {
	if name == "" || strings.ContainsAny(name, " \t") {
		return f.errorAt(line, "host name %q is empty or holds a space", name)
	}
	if i := slices.IndexFunc(f.hosts, func(other Host) bool { return other.Name == name }); i >= 0 {
		return f.errorAt(line, "host %s stands already on line %d", name, f.hosts[i].line)
	}
	h := Host{Name: name, Zone: values[columnZone], API: values[columnAPI], line: line}
	port, err := strconv.Atoi(values[columnPort])
	if err != nil || port < 1 || port > maxPort {
		return f.errorAt(line, "host %s: port %q is not a number from 1 to %d", name, values[columnPort], maxPort)
	}
	address := values[columnAddress]
	if address == "" {
		address = name
	}
	h.Address = net.JoinHostPort(address, strconv.Itoa(port))
	cell := values[columnCell]
	if h.RingPosition, err = strconv.Atoi(cell); err != nil || h.RingPosition < 0 || h.RingPosition >= f.ringSize {
		return f.errorAt(line, "host %s: cell %q is not a number from 0 to %d", name, cell, f.ringSize-1)
	}
	if h.API == "" {
		h.API = APIs[0]
	}
	if !slices.Contains(APIs, h.API) {
		return f.errorAt(line, "host %s: api %q is none of %s", name, h.API, strings.Join(APIs, ", "))
	}
	f.hosts = append(f.hosts, h)
	return nil
}
