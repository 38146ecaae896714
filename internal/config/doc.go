// Package config reads the files and variables of a harepass program, at its start and at a reload, and checks them
// where they are read.
//
// # Contract
//
// Load reads everything that a coordinator needs: the platform's file, the PROXY_* variables and the installation's
// files for the OpenSearch front, overload control and distribution. LoadRelay reads a relay's file. Both return
// either a complete value or an *InvalidError; nothing is started, and no socket is opened. A missing file is an
// error, unless it is the one at the default path of a part that may be off.
//
// A Config is a plain struct. Whoever owns it may replace Settings, ProtocolLimits and Platform by those of another
// Config that Changes has accepted. No method of this package writes to one after it is returned, but for Changes: its
// check of the OpenSearch front writes the indices' deadlines into the front's configuration.
//
// # Where each rule stands
//
//	config.go           which files are read, and what is needed to serve at all
//	platform.go         the platform's file and the variables that override it
//	limits.go           how descriptors and memory are divided, and halved for a hand-over
//	opensearch.go       the OpenSearch front's file, its settings and its inventory
//	overload.go         the overload-control file
//	distribution.go     the distribution file of a coordinator
//	relay.go            the file of a relay or an authority
//	upstream.go         the relays that are followed, in both of those files
//	changes.go          what a reload would change, why it is refused, and what needs a restart
//	fleet_settings.go   settings that relays give out to a whole fleet
//	decode.go           strict decoding, and the names of types in its messages
//	errors.go           the errors that a caller can tell apart
package config
