package faultinjection

import "harepass/internal/test/fake"

// discoveryHealthy is a scenario's name for the mode in which discovery answers every call.
const discoveryHealthy = "sound"

// discoveryModes lists all modes of discovery by their names in a scenario. Their order determines what a soak draws
// from a seed.
var discoveryModes = []string{
	discoveryHealthy, string(fake.RegistryDown), string(fake.RegistryOverloaded), string(fake.RegistrySilent),
}

// setDiscovery switches discovery to a mode, given by its name in a scenario.
func (f *Fleet) setDiscovery(mode string) {
	f.Note(sourceHarness, "discovery is %s", mode)
	if mode == discoveryHealthy {
		mode = string(fake.RegistryHealthy)
	}
	f.registry.SetMode(fake.RegistryMode(mode))
	f.checker.setDiscoveryReachable(mode != string(fake.RegistryDown))
}
