package core

import (
	"cmp"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"harepass/internal/decide/scatter"
)

// Coordinator is one coordinator: the module, and all that is open. Use New, then Run in a goroutine of its own. Fields
// belong to that goroutine, unless the type of one says otherwise.
type Coordinator struct {
	cfg      Config
	settings atomic.Pointer[settingsInForce] // those in force; see inForce

	queue      chan posted   // messages that wait for the next tick
	submitting sync.RWMutex  // read-held by Submit between its look at the phase and its place in the queue
	stopped    chan struct{} // closed once Run has returned

	machine *scatter.Machine
	now     time.Duration   // instant of the present tick, or of the last one
	events  []scatter.Event // for the module's next step, in order
	timers  timers
	wake    *timer // when the module wants to be stepped; nil before it has asked

	phaseState  phaseState
	load        tickLoad
	open        openQueries
	reservedIDs reservedIDs

	endpoints     endpointTable
	updates       pendingUpdates
	listReadiness listReadiness
	lease         listLease
	maintenance   maintenanceInForce

	logLimit logLimit
}

// New returns a Coordinator in the phase Starting. It returns a *scatter.SettingError for settings that the module does
// not take, and ErrSecondRound for classes that this program does not serve.
func New(cfg Config) (*Coordinator, error) {
	machine, err := scatter.New(cfg.Seed, withFirstPhases(cfg.Settings, cfg.TwoPhaseClasses))
	if err != nil {
		return nil, err
	}
	if err := checkSupported(cfg.Settings); err != nil {
		return nil, err
	}
	cfg.Log = cmp.Or(cfg.Log, slog.Default())
	c := &Coordinator{
		cfg:         cfg,
		queue:       make(chan posted, queueCapacity),
		stopped:     make(chan struct{}),
		machine:     machine,
		timers:      newTimers(),
		phaseState:  newPhaseState(),
		open:        newOpenQueries(),
		reservedIDs: reservedIDs{},
		endpoints:   newEndpointTable(cfg.Settings.RingSize, cfg.Settings.ReplicationFactor),
		maintenance: newMaintenanceInForce(),
	}
	c.settings.Store(&settingsInForce{cfg.Settings, cfg.Limits})
	if cfg.OnCheckpoint != nil {
		c.timers.add(cfg.Clock()+checkpointInterval, c.checkpoint)
	}
	return c, nil
}
