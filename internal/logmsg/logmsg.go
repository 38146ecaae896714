// Package logmsg holds the log messages and keys that more than one package goes by: those that a coordinator writes
// and the tests' and operators' tools read. A message is one event, its noun first; a key is a noun, with its unit
// where the value has none of its own.
package logmsg

// Messages of a coordinator about single queries, under "serve -trace" unless a query ended badly.
const (
	EndpointUpdated  = "endpoint updated"
	AttemptEnded     = "attempt ended"
	AttemptWithheld  = "attempt withheld"
	ClientLeft       = "client left"
	QueryEnded       = "query ended"
	ConnectionOpened = "connection opened"
	DiscoveryPolled  = "discovery polled"
	SettingsRead     = "settings read"
)

// Messages about the endpoint list and the settings in force.
const (
	VersionInForce = "version in force"

	EndpointListConfirmed = "endpoint list confirmed"         // after it had expired: queries are served again
	EndpointListExpired   = "endpoint list expired"           // nothing new is sent until discovery confirms it
	ShardsUncovered       = "shards uncovered by maintenance" // all their replicas were taken out: queries are refused

	SourceFollowed = "source followed"
	SourceLeft     = "source left"
)

// Messages about overload.
const (
	OverloadLevelChanged = "overload level changed"
)

// Keys of OverloadLevelChanged.
const (
	KeyOverloadLevel   = "level"
	KeyOverloadReasons = "reasons"
	KeyMeanWait        = "mean_wait"
)

// Keys.
const (
	KeyQuery     = "query_id"
	KeyShard     = "shard"
	KeyAttempt   = "attempt"
	KeyReplica   = "replica"
	KeyState     = "state"
	KeyAge       = "age"
	KeyOutcome   = "outcome"
	KeyLatency   = "latency"
	KeyClass     = "class"
	KeyStatus    = "status"
	KeyComplete  = "complete"
	KeyAttempts  = "attempts"
	KeyError     = "err"
	KeySlowStart = "slow_start"

	KeyReason          = "reason"
	KeyResource        = "resource"
	KeySource          = "source"
	KeyTenant          = "tenant"
	KeyQueryAge        = "query_age"
	KeyTimeLeft        = "time_left"
	KeyParts           = "parts"
	KeyPartsServed     = "parts_served"
	KeyLinesSuppressed = "lines_suppressed"
	KeyOpenQueries     = "open_queries"
	KeyShards          = "shards"
	KeyRemedy          = "remedy"
)

// Values of KeyState and KeyStatus that readers compare with. Counters are named after the statuses, and their names
// are wire: these values stay.
const (
	StateReady     = "ready"
	StatusServed   = "served"
	StatusRejected = "refused"
)
