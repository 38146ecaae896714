package inventory

import (
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"harepass/internal/inputfile"
)

// Host is one endpoint of an inventory.
type Host struct {
	Name         string
	Address      string // host:port
	RingPosition int    // from 0 to the ring size minus 1
	Zone         string // empty if the inventory gives none
	API          string // scheme that the endpoint uses: one of APIs
}

// APIs lists the schemes that an endpoint may use, as in core.Endpoint.Scheme. The first is the default for hosts that
// give none. The slice must not be modified.
var APIs = []string{"frame", "opensearch"}

// maxHosts is the number of hosts that a file may have.
const maxHosts = 20_000

// maxPort is the highest TCP port.
const maxPort = 65535

// ErrUnknownFormat is wrapped by the error of Load for a file whose extension is neither that of CSV nor of YAML.
var ErrUnknownFormat = errors.New("the file name has to end in .csv, .yml or .yaml")

// Error reports a fault in one line of an inventory file.
type Error struct {
	File string // path as passed to Load
	Line int    // from 1
	Text string // description of the fault
}

// Error returns file, line and fault in the format of compiler messages.
func (e *Error) Error() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Text) }

// Load reads the hosts of a file once, in the file's order, without waiting for a file that is being written. The
// extension selects the format: CSV for .csv, and YAML for .yml and .yaml. From YAML, Load returns the hosts of one
// group, or all hosts if group is empty. Ring positions range from 0 to ringSize-1. The error is an *Error, the error
// of reading the file, or wraps ErrUnknownFormat.
func Load(path, group string, ringSize int) ([]Host, error) {
	data, err := inputfile.Read(path)
	if err != nil {
		return nil, err
	}
	return parse(path, data, group, ringSize)
}

// parse returns the hosts in the contents of a file. Its parameters and errors are those of Load.
func parse(path string, data []byte, group string, ringSize int) (hosts []Host, err error) {
	f := &file{path: path, ringSize: ringSize, lines: map[string]int{}}
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

// file is an inventory file while it is read.
type file struct {
	path     string
	ringSize int
	hosts    []Host         // hosts that have been read and checked
	lines    map[string]int // lines that first name these hosts, by name
}

// errorAt returns an *Error for a line of the file.
func (f *file) errorAt(line int, format string, args ...any) error {
	return &Error{f.path, line, fmt.Sprintf(format, args...)}
}

// Columns of a CSV file. They are also the keys of a host's values in both formats.
const (
	columnName    = "name"
	columnAddress = "address"
	columnPort    = "port"
	columnCell    = "cell"
	columnZone    = "zone"
	columnAPI     = "api"
)

// add checks a host's values, which are keyed by column, and appends the host. line is where the file first names it.
func (f *file) add(line int, name string, values map[string]string) error {
	if name == "" || strings.ContainsAny(name, " \t") {
		return f.errorAt(line, "host name %q is empty or holds a space", name)
	}
	if other, listed := f.lines[name]; listed {
		return f.errorAt(line, "host %s stands already on line %d", name, other)
	}
	if len(f.hosts) == maxHosts {
		return f.errorAt(line, "over %d hosts", maxHosts)
	}
	h := Host{Name: name, Zone: values[columnZone], API: values[columnAPI]}
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
	f.lines[name] = line
	return nil
}
