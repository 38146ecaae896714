// Package logmsg holds the log messages and keys that more than one package uses: a coordinator writes them, and the
// tools of tests and operators read them. A message names one event, noun first. A key is a noun, with a unit if the
// value has none of its own.
package logmsg

// Messages about single queries and attempts. They are written at debug level, except that QueryEnded is written at
// info level if the query failed or was late.
const (
	AttemptEnded    = "attempt ended"
	AttemptWithheld = "attempt withheld"
	ClientLeft      = "client left"
	HandlerPanicked = "handler panicked" // at error level, with the stack; the request is answered with 500
	QueryEnded      = "query ended"
)

// Messages about endpoint updates, connections, polls and settings of a coordinator, at debug level.
const (
	EndpointUpdated  = "endpoint updated"
	ConnectionOpened = "connection opened"
	DiscoveryPolled  = "discovery polled"
	SettingsRead     = "settings read"
)

// Messages about the endpoint list and the settings in force.
const (
	VersionInForce = "version in force"

	EndpointListConfirmed = "endpoint list confirmed"         // after it had expired; queries are served again
	EndpointListExpired   = "endpoint list expired"           // no new attempts by it until discovery confirms it
	ShardsUncovered       = "shards uncovered by maintenance" // all their replicas in maintenance; queries are refused
)

// Messages about the source of a resource that a reader follows.
const (
	SourceFollowed = "source followed"
	SourceLeft     = "source left"
)

// Messages about replicas that offer the API.
const (
	ClassWithoutIndex = "class without index" // the replicas have no index for a class and get none of its queries
)

// Messages about overload.
const (
	OverloadLevelChanged = "overload level changed"
)

// Messages about the lifecycle of a coordinator, from the first listener to the stop.
const (
	ListenerOpened         = "listener opened"
	PhaseChanged           = "phase changed"
	ConfigurationReloaded  = "configuration reloaded"
	ConfigurationRejected  = "configuration rejected"
	FileSettingsIgnored    = "file settings ignored"
	SettingsChanged        = "settings changed"
	ConfigurationPostponed = "configuration reading postponed" // a file that is read at the start may not be complete
	InventoryReloaded      = "inventory reloaded"
	InventoryPostponed     = "inventory reading postponed" // the file may not be complete; it is looked at again
	InventoryRejected      = "inventory rejected"
	CoordinatorStopped     = "coordinator stopped"
	MemoryUsed             = "memory used" // regularly, and whenever the memory has risen by a part of its limit
)

// Messages about endpoint lists and settings that a coordinator receives from relays or from another process.
const (
	EndpointListInForce   = "endpoint list in force"
	EndpointListTakenOver = "endpoint list taken over"
	SettingsInForce       = "settings in force"
	SettingsRejected      = "settings rejected"
)

// Messages of a relay or an authority.
const (
	AuthorityFilesRejected = "authority files rejected"
)

// Keys of VersionInForce, besides KeyResource.
const (
	KeyEpoch     = "epoch"
	KeyIndex     = "index"
	KeyInForceAt = "at_unix_ms" // Unix milliseconds by the coordinator's clock
)

// Keys of OverloadLevelChanged.
const (
	KeyOverloadLevel   = "level"
	KeyOverloadReasons = "reasons"
	KeyMeanWait        = "mean_wait"
)

// Keys about queries and attempts. Times are written with their unit.
const (
	KeyQuery           = "query_id"
	KeyClass           = "class"
	KeyTenant          = "tenant"
	KeyStatus          = "status"
	KeyComplete        = "complete"
	KeyLatency         = "latency"
	KeyQueryAge        = "query_age" // time since the query was accepted
	KeyTimeLeft        = "time_left" // until the client's deadline
	KeyParts           = "parts"
	KeyPartsServed     = "parts_served"
	KeyAttempts        = "attempts" // number of attempts of the query
	KeyLinesSuppressed = "lines_suppressed"
	KeyShard           = "shard"
	KeyAttempt         = "attempt" // number of the attempt within its part, from 0
	KeyOutcome         = "outcome"
)

// Keys about replicas, the endpoint list and resources.
const (
	KeyReplica     = "replica"
	KeyState       = "state"
	KeyAge         = "age" // time since the replica started
	KeySlowStart   = "slow_start"
	KeyShards      = "shards"
	KeyOpenQueries = "open_queries"
	KeyResource    = "resource"
	KeySource      = "source"
)

// Keys of any message.
const (
	KeyReason = "reason"
	KeyError  = "err"
	KeyRemedy = "remedy" // what an operator can do about the event
	KeyChange = "change" // one difference between old and new settings
)

// Values of KeyState, KeyStatus and KeyOutcome that log readers compare with. The names of counters contain statuses
// and outcomes and are part of an external interface, so these values must not change.
const (
	StateReady     = "ready"
	StatusServed   = "served"
	StatusRejected = "refused"
	OutcomeServed  = "served"
)
