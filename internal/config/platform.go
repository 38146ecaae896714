package config

import (
	"encoding/json"
	"net"
	"strconv"

	"harepass/internal/inputfile"
	"harepass/internal/platform"
	"harepass/internal/wire"
)

// Environment variables. All except varConfig and varListenerFD override a field of the platform's file.
const (
	varConfig     = "PROXY_CONFIG" // path of the platform's file
	varName       = "PROXY_NAME"
	varListen     = "PROXY_LISTEN"
	varDiscovery  = "PROXY_DISCOVERY"
	varOperator   = "PROXY_OPERATOR"
	varListenerFD = "PROXY_FD" // descriptor of the client listener, if the platform holds it
)

// minInheritedFD is the lowest descriptor that a process can inherit for its listener: lower ones are the standard
// streams.
const minInheritedFD = 3

// PlatformFile is the file in which the platform configures one coordinator.
type PlatformFile struct {
	Name         string          `json:"name"`
	Listen       string          `json:"listen"`    // address for clients
	Discovery    string          `json:"discovery"` // address of the service that serves the endpoint list
	AdminAddress string          `json:"operator"`  // address of the admin endpoint; empty if there is none
	Seed         string          `json:"seed"`      // hexadecimal number of 64 bits
	Limits       Limits          `json:"limits"`
	KnownList    platform.List   `json:"known"`    // the initial endpoint list
	Settings     json.RawMessage `json:"settings"` // in the format that internal/wire parses

	data []byte // contents of the file
}

// LoadPlatform reads the file that PROXY_CONFIG names, as a reload does. The variables override fields of the file. It
// does not read the other files of the installation, so those parts of the Config are empty. The error is an
// *InvalidError.
func LoadPlatform(env Environment) (*Config, error) {
	c, err := loadPlatform(env)
	return c, invalid(err)
}

// WithoutDiscovery returns env without the variable for the address of discovery. That variable applies only at start;
// from the first reload on, the file's address is used. If the file has no address of discovery because the variable
// supplied it, every reload is therefore rejected with an *AddressError, and the configuration in force stays.
func WithoutDiscovery(env Environment) Environment {
	return func(name string) string {
		if name == varDiscovery {
			return ""
		}
		return env(name)
	}
}

// loadPlatform implements LoadPlatform; its error is not yet wrapped in an *InvalidError.
func loadPlatform(env Environment) (*Config, error) {
	path := env(varConfig)
	data, err := inputfile.Read(path)
	if err != nil {
		return nil, err
	}
	c, err := readPlatform(data, env)
	if err != nil {
		return nil, &FileError{path, err}
	}
	return c, nil
}

// readPlatform builds a Config from the contents of the platform's file and the variables.
func readPlatform(data []byte, env Environment) (*Config, error) {
	p := &PlatformFile{Limits: defaultLimits, data: data}
	if err := decodeJSON(data, p); err != nil {
		return nil, err
	}
	p.override(env)
	if err := p.checkAddresses(); err != nil {
		return nil, err
	}
	c := &Config{Platform: p}
	var err error
	if c.Seed, err = strconv.ParseUint(p.Seed, 16, 64); err != nil {
		return nil, &SeedError{p.Seed}
	}
	if c.Settings, c.ProtocolLimits, err = wire.JSONSettings(p.Settings); err != nil {
		return nil, err
	}
	// Over sockets only a subscriber receives the endpoint list, whether the settings say that it is pushed or polled.
	c.ListPushed, c.Settings.Subscribe = !c.Settings.Subscribe, true
	if err := p.Limits.check(); err != nil {
		return nil, err
	}
	c.Limits = p.Limits
	if fd := env(varListenerFD); fd != "" {
		if c.ListenerFD, err = strconv.Atoi(fd); err != nil || c.ListenerFD < minInheritedFD {
			return nil, &DescriptorValueError{fd}
		}
		c.Limits = c.Limits.halved()
	}
	if c.KnownEndpoints, err = p.KnownList.CoreEndpoints(); err != nil {
		return nil, err
	}
	return c, nil
}

// override replaces fields of the file by the variables that are set.
func (p *PlatformFile) override(env Environment) {
	for name, field := range map[string]*string{varName: &p.Name, varListen: &p.Listen,
		varDiscovery: &p.Discovery, varOperator: &p.AdminAddress} {
		if v := env(name); v != "" {
			*field = v
		}
	}
}

// checkAddresses rejects addresses that are not of the form host:port. Only the admin endpoint's address may be
// missing.
func (p *PlatformFile) checkAddresses() error {
	for _, a := range []struct {
		name, address string
		optional      bool
	}{
		{"listen", p.Listen, false}, {"discovery", p.Discovery, false}, {"operator", p.AdminAddress, true},
	} {
		if a.address == "" && a.optional {
			continue
		}
		if a.address == "" {
			return &AddressError{Name: a.name}
		}
		if _, _, err := net.SplitHostPort(a.address); err != nil {
			return &AddressError{a.name, err}
		}
	}
	return nil
}
