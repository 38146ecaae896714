// Package distribution follows a resource that relays give out in versions: the node list or the settings. A Follower
// keeps one connection to one of several sources, watches for news, checks each answer whole before anything of it
// counts, hands what has changed to its consumer, and goes to another source where one fails, falls silent, is behind or
// answers what it may not. Coordinators use it, and relays that have another relay upstream.
package distribution

import (
	"time"

	"harepass/internal/decide/versionlog"
)

// Resource is the path of what is followed.
type Resource string

// The resources.
const (
	Endpoints Resource = "/registry/instances" // the node list
	Settings  Resource = "/registry/settings"
)

// Name is the resource's name in logs and files.
func (r Resource) Name() string {
	switch r {
	case Endpoints:
		return "instances"
	case Settings:
		return "settings"
	}
	return string(r)
}

const (
	// DefaultHold is the heartbeat: how long a watch is held where there is no news.
	DefaultHeartbeat = 500 * time.Millisecond
	// DefaultAllowance is how much later an answer may come before the source counts as silent.
	DefaultAllowance = 300 * time.Millisecond
	// DefaultMaxBody is the most bytes of a relay's answer.
	DefaultMaxBody = 64 << 10
)

// AgeMillisecondsHeader has an answer's Age in whole milliseconds. Its name is in the canonical form.
const AgeMillisecondsHeader = "Age-Ms"

// Update is what an answer has changed. It is valid beyond the call.
type Update struct {
	// Slice is the answer as it came, for readers that keep a log of their own. The other fields are what it means for
	// those that keep entries.
	Slice     versionlog.Slice
	Entries   []versionlog.Entry // changed or removed, in the order of their indexes
	Removed   []string           // with the last slice of a snapshot: names that it did not hold
	Completed bool               // it was the last slice of a snapshot
	Complete  bool               // the replica is the log's state at the slice's version
	Source    string             // the address that it came from
}

// Status is where a Follower stands.
type Status struct {
	Version    versionlog.Version
	HasVersion bool          // false: it has nothing yet, and Version means nothing
	Complete   bool          // the replica is the log's state at Version
	Entries    int           // held
	Staleness  time.Duration // since Version was last known to be the authority's newest; since the start before that
	Source     string        // the address that is followed; empty where none answers
}

// Counters count since the start.
type Counters struct {
	Calls        int64 // sent
	Failures     int64 // calls without a usable answer
	BytesRead    int64
	BytesWritten int64
	Versions     int64 // answers with a newer version
	Entries      int64 // changed or removed
	Snapshots    int64 // completed
	Switches     int64 // sources followed, the first one included
	Rejected     int64 // answers that were not taken: behind or spoilt
}
