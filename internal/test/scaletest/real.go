package scaletest

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"harepass/internal/logmsg"
	"harepass/internal/test/fake"
	"harepass/internal/test/faultinjection"
)

// distributionFile is a coordinator's file of the relays that it may follow.
type distributionFile struct {
	Zone      string        `yaml:"zone"`
	Region    string        `yaml:"region"`
	Sources   []relaySource `yaml:"sources"`
	Heartbeat time.Duration `yaml:"heartbeat"`
}

// The limits of a real coordinator.
const (
	realCores    = 1.0
	realMemoryMB = 192
	realSockets  = 1024
)

// startReal starts a process of the program that follows the relays.
func (f *fleet) startReal(m *member) error {
	if m.address == "" {
		var err error
		if m.address, err = faultinjection.Reserve(); err != nil {
			return err
		}
	}
	config, err := f.writeConfig(m)
	if err != nil {
		return err
	}
	file := distributionFile{Zone: zoneName(m.zone), Region: regionName(m.region), Heartbeat: f.plan.Heartbeat}
	for _, s := range f.sources[m.region] {
		file.Sources = append(file.Sources, relaySource(s))
	}
	data, err := yaml.Marshal(file)
	if err != nil {
		return err
	}
	path, err := f.writeFile(m.name+".yaml", data)
	if err != nil {
		return err
	}
	f.recordStart(m.name)
	reader := &logReader{member: m.name, records: f.records}
	p, err := startProcess(command{name: m.name, role: roleCoordinator, args: append(f.Program[:len(f.Program):len(f.Program)], "serve", "-distribution", path),
		env: append(f.Env[:len(f.Env):len(f.Env)], "PROXY_CONFIG="+config), dir: f.Dir, readStderr: reader.read})
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.realProcesses[m.name] = p
	return nil
}

// writeConfig writes what the platform tells a coordinator: it knows no list at its start.
func (f *fleet) writeConfig(m *member) (path string, err error) {
	settings, err := encodeSettings(f.Settings, f.plan, 0)
	if err != nil {
		return "", err
	}
	var own map[string]any
	if err := json.Unmarshal(settings, &own); err != nil {
		return "", err
	}
	own["me"] = m.ordinal
	data, err := json.Marshal(map[string]any{"name": m.name, "listen": m.address, "discovery": f.discoveryAddress, "seed": fmt.Sprintf("%016x", uint64(m.ordinal+1)*0x9e3779b97f4a7c15),
		"limits": map[string]any{"cores": realCores, "memory_mb": realMemoryMB, "sockets": realSockets},
		"known":  fake.EndpointList{Snapshot: true, Endpoints: []fake.Endpoint{}}, "settings": own})
	if err != nil {
		return "", err
	}
	return f.writeFile(m.name+".json", data)
}

// The lines of a coordinator's log that are read.
const (
	inForceLine = logmsg.VersionInForce
	changedLine = logmsg.SettingsChanged
)

// logReader makes records of a coordinator's own log.
type logReader struct {
	member                            string
	records                           *records
	retryAfterNumber, keepAliveNumber int64 // the settings' number in both its places
}

// read takes lines until the log ends.
func (l *logReader) read(in io.Reader) {
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		l.readLine(lines.Text())
	}
	io.Copy(io.Discard, in) // a line that is too long ends the scanner, not the process
}

func (l *logReader) readLine(line string) {
	switch {
	case strings.Contains(line, changedLine):
		for _, place := range []struct {
			key    string
			base   time.Duration
			number *int64
		}{{"caps.max_retry_after_us: ", retryAfterBase, &l.retryAfterNumber}, {"caps.keepalive_us: ", keepAliveBase, &l.keepAliveNumber}} {
			if value, ok := parseNumberAfter(line, place.key); ok {
				*place.number = value - place.base.Microseconds()
			}
		}
	case strings.Contains(line, inForceLine):
		l.recordVersion(line)
	}
}

// inForce makes a record.
func (l *logReader) recordVersion(line string) {
	t := VersionRecord{Member: l.member, Resource: List, Complete: true}
	if strings.Contains(line, "resource=settings") {
		t.Resource, t.Sequence, t.Mixed = Settings, l.retryAfterNumber, l.retryAfterNumber != l.keepAliveNumber
	}
	var ms int64
	for key, value := range map[string]*int64{"epoch=": &t.Epoch, "index=": &t.Index, "at_unix_ms=": &ms} {
		var ok bool
		if *value, ok = parseNumberAfter(line, key); !ok {
			return
		}
	}
	t.At = time.UnixMilli(ms)
	l.records.add(t)
}

// numberAfter is the number that follows a key in a line.
func parseNumberAfter(line, key string) (int64, bool) {
	_, rest, found := strings.Cut(line, key)
	if !found {
		return 0, false
	}
	end := strings.IndexFunc(rest, func(r rune) bool { return r < '0' || r > '9' })
	if end < 0 {
		end = len(rest)
	}
	n, err := strconv.ParseInt(rest[:end], 10, 64)
	return n, err == nil
}
