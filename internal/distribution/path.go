package distribution

// Path is the URL path at which relays and discovery serve a resource. It identifies the resource.
type Path string

// The paths.
const (
	Endpoints Path = "/registry/instances" // the endpoint list
	Settings  Path = "/registry/settings"  // the settings of the fleet
)

// ResourceName returns the resource's name in logs and configuration files: the last element of the path.
func (p Path) ResourceName() string {
	switch p {
	case Endpoints:
		return "instances"
	case Settings:
		return "settings"
	}
	return string(p)
}
