// Package logmsg holds the log messages and keys that more than one package goes by: those that a coordinator writes and the
// tests' and operators' tools read. A message is one event, its noun first; a key is a noun, with its unit where the value
// has none of its own.
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
)
