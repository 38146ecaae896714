package scaletest

import (
	"slices"

	"go.yaml.in/yaml/v3"

	"harepass/internal/test/faultinjection"
)

// startReal starts a real coordinator that follows the relays. A member that is started again keeps its address.
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
	distribution, err := f.writeDistribution(m)
	if err != nil {
		return err
	}
	f.recordStart(m.name)
	reader := &logReader{member: m.name, records: f.records}
	p, err := startProcess(command{
		name: m.name, role: roleCoordinator, dir: f.Dir, readStderr: reader.read,
		args: slices.Concat(f.Program, []string{"serve", "-distribution", distribution}),
		env:  slices.Concat(f.Env, []string{"PROXY_CONFIG=" + config}),
	})
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.realProcesses[m.name] = p
	return nil
}

// writeDistribution writes the file that lists the relays a coordinator may follow.
func (f *fleet) writeDistribution(m *member) (path string, err error) {
	file := distributionFile{Zone: zoneName(m.zone), Region: regionName(m.region), Heartbeat: f.plan.Heartbeat}
	for _, source := range f.sources[m.region] {
		file.Sources = append(file.Sources, relaySource(source))
	}
	data, err := yaml.Marshal(file)
	if err != nil {
		return "", err
	}
	return f.writeFile(m.name+".yaml", data)
}
