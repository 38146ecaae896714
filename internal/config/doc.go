// Package config reads and validates the configuration files and environment variables of a harepass program, at start
// and at each reload.
//
// # Contract
//
// Load reads everything that a coordinator needs: the platform's file, the PROXY_* variables and the installation's
// files for the OpenSearch front, overload control and distribution. LoadRelay reads a relay's file. Both wait until
// the installation's files are complete, and return either a complete value, an *InvalidError, or the cause of a context
// that ended the wait; neither starts anything or opens a socket. A missing file is an error, unless it is the default
// path of an optional part.
//
// A Config is a plain struct. Its owner may replace Settings, ProtocolLimits and Platform by those of another Config
// that Changes has accepted. No method of this package writes to a Config after it is returned: Changes checks a copy
// of the OpenSearch front's configuration.
//
// # Files
//
//	config.go           which files are read, and the minimum that a coordinator needs to serve
//	platform.go         the platform's file and the variables that override it
//	limits.go           how descriptors and memory are divided, and halved for a hand-over
//	opensearch.go       the OpenSearch front's file, its settings and its inventory
//	overload.go         the overload-control file
//	distribution.go     the distribution file of a coordinator
//	relay.go            the file of a relay or an authority
//	upstream.go         the relays that a process follows, in both of those files
//	changes.go          what a reload would change, why it is rejected, and what needs a restart
//	fleet_settings.go   settings that relays distribute to a whole fleet
//	file_set.go         waits at the start until the files that are read together are complete
//	decode.go           strict decoding, and stable type names in its error messages
//	errors.go           the errors that a caller can distinguish
package config
