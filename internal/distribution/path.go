package distribution

// Path is where relays and discovery give out a resource: what a Follower follows.
type Path string

// The paths.
const (
	Endpoints Path = "/registry/instances" // the endpoint list
	Settings  Path = "/registry/settings"  // the settings of the fleet
)

// ResourceName returns the resource's name in logs and configuration files: the last element of its path.
func (p Path) ResourceName() string {
	switch p {
	case Endpoints:
		return "instances"
	case Settings:
		return "settings"
	}
	return string(p)
}
