package distribution

// Resource is the path under which relays and discovery give out what a Follower follows.
type Path string

// The resources.
const (
	Endpoints Path = "/registry/instances" // the endpoint list
	Settings  Path = "/registry/settings"  // the settings of the fleet
)

// Name returns the resource's name in logs and configuration files: the last element of its path.
func (r Path) ResourceName() string {
	switch r {
	case Endpoints:
		return "instances"
	case Settings:
		return "settings"
	}
	return string(r)
}
