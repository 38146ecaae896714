package core

import (
	"log/slog"
	"time"

	"harepass/internal/decide/scatter"
	"harepass/internal/decide/twophase"
)

// Limits bound the coordinator's own resources; the decision module does not use them.
type Limits struct {
	MaxOpen      int           // open queries and parts, whether sent or not; 0 for no limit
	Shards       int           // number of shards; 0 if it is unknown, and a query may ask for any shard
	DrainTimeout time.Duration // from Drain until all queries must be over; 0 for no limit
}

// Clock returns the time as a duration since the Unix epoch; it never goes back. Any goroutine may call it.
type Clock func() time.Duration

// SystemClock returns a Clock that reads the wall clock once, when SystemClock is called, and then advances by the
// monotonic clock: a step of the wall clock does not move deadlines.
func SystemClock() Clock {
	base := time.Now()
	return func() time.Duration { return time.Duration(base.UnixNano()) + time.Since(base) }
}

// Config configures a Coordinator; see New. Settings, Clock and Subscribe are required, and so is a Caller for the
// scheme of every endpoint that attempts should be sent to.
type Config struct {
	Seed         uint64            // seed of the module's random choices
	Settings     scatter.Settings  // in force until a call of Configure
	Limits       Limits            // in force until a call of Configure
	Clock        Clock             // source of all instants
	Callers      map[string]Caller // by Endpoint.Scheme; attempts to endpoints of other schemes are not sent
	Subscribe    func()            // asks PolledSource for its list, if that source must be asked; must not block
	PolledSource string            // the source whose list makes the coordinator Ready and is subject to a lease

	Planner         *twophase.Planner // plans queries that have an Index; if nil, all parts are asked in one phase
	TwoPhaseClasses []string          // classes whose queries may have a first phase
	TwoPhaseSchemes map[string]bool   // schemes whose Callers can send a first phase
	CacheBytes      int               // bytes of values that the Planner may retain while memory is not short

	// OnCheckpoint receives what the module has learned, every checkpointInterval until the coordinator drains. It must
	// not block. Nil disables checkpoints.
	OnCheckpoint func(scatter.Checkpoint)

	Log      *slog.Logger // nil for slog.Default
	Admitter Admitter     // nil admits all queries
}
