package faultinjection

import "harepass/internal/test/fake"

// discoveryHealthy is the mode of discovery, as a scenario names it, in which it answers.
const discoveryHealthy = "sound"

// discoveryModes are all modes of discovery, as a scenario names them. A soak draws from them by their order.
var discoveryModes = []string{
	discoveryHealthy, string(fake.RegistryDown), string(fake.RegistryOverloaded), string(fake.RegistrySilent),
}

// setDiscovery changes how discovery treats calls.
func (f *Fleet) setDiscovery(mode string) {
	f.Note(sourceHarness, "discovery is %s", mode)
	if mode == discoveryHealthy {
		mode = string(fake.RegistryHealthy)
	}
	f.registry.SetMode(fake.RegistryMode(mode))
	f.checker.setDiscoveryReachable(mode != string(fake.RegistryDown))
}
