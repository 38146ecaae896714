package core

import (
	"log/slog"
	"time"

	"harepass/internal/decide/scatter"
	"harepass/internal/decide/twophase"
)

// Limits bound the coordinator around the module, rather than the module.
type Limits struct {
	MaxOpen      int           // queries and parts that may be open, sent or not; 0 for no limit
	Shards       int           // number of shards; 0 if it is unknown, and any shard may be asked for
	DrainTimeout time.Duration // from Drain until the time of every query is over; 0 for no limit
}

// Clock reads the time as a duration since the Unix epoch; it never goes back. Any goroutine may call it.
type Clock func() time.Duration

// SystemClock returns a Clock that reads the wall clock once, now, and goes on from there by the monotonic clock: a
// step of the wall clock does not move deadlines.
func SystemClock() Clock {
	base := time.Now()
	return func() time.Duration { return time.Duration(base.UnixNano()) + time.Since(base) }
}

// Config is what New makes a Coordinator of. Settings, Clock and Subscribe are required; so is a Caller for every
// endpoint that is to be sent to.
type Config struct {
	Seed         uint64            // of the module's random choices
	Settings     scatter.Settings  // in force until Configure
	Limits       Limits            // in force until Configure
	Clock        Clock             // of all instants
	Callers      map[string]Caller // by Endpoint.Scheme; attempts at endpoints of other schemes are not sent
	Subscribe    func()            // asks PolledSource for its list, if that has to be asked; must not block
	PolledSource string            // the source whose list makes the coordinator Ready and has a lease

	Planner         *twophase.Planner // plans the queries that have an Index; nil asks all parts in one phase
	TwoPhaseClasses []string          // classes whose queries may have a first phase
	TwoPhaseSchemes map[string]bool   // schemes whose Callers can send a first phase
	CacheBytes      int               // bytes that the Planner may retain while memory does not run short

	// OnCheckpoint is given what the module has learned, every checkpointInterval until the coordinator drains. It must
	// not block; nil for nobody.
	OnCheckpoint func(scatter.Checkpoint)

	Log      *slog.Logger // nil for the default
	Admitter Admitter     // nil admits all
}
