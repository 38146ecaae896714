package core

import (
	"cmp"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"harepass/internal/decide/scatter"
)

// Coordinator runs the decision module and owns all open queries. Create it with New, then call Run in a goroutine of
// its own. The fields belong to that goroutine unless their type's documentation says otherwise.
type Coordinator struct {
	cfg      Config
	settings atomic.Pointer[settingsInForce] // settings in force; see inForce

	queue      chan posted   // messages waiting for the next tick
	submitting sync.RWMutex  // read-locked by Submit from its check of the phase until the query is queued
	stopped    chan struct{} // closed once Run has returned

	machine *scatter.Machine
	now     time.Duration   // instant of the current tick, or of the last one between ticks
	events  []scatter.Event // for the module's next step, in order
	timers  timers
	wake    *timer // when to run the module's next step; nil before the module has asked for one

	phaseState  phaseState
	load        tickLoad
	usage       usageGauge
	open        openQueries
	reservedIDs reservedIDs

	endpoints     endpointTable
	updates       pendingUpdates
	listReadiness listReadiness
	lease         listLease
	maintenance   maintenanceInForce

	logLimit logLimit
}

// New returns a Coordinator in the phase Starting. It returns a *scatter.SettingError if the decision module rejects
// the settings, and ErrSecondRound if a class has a second round, which this program does not support.
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
		reservedIDs: newReservedIDs(),
		endpoints:   newEndpointTable(cfg.Settings.RingSize, cfg.Settings.ReplicationFactor),
		maintenance: newMaintenanceInForce(),
	}
	c.settings.Store(&settingsInForce{cfg.Settings, cfg.Limits})
	if cfg.OnCheckpoint != nil {
		c.timers.add(cfg.Clock()+checkpointInterval, c.checkpoint)
	}
	return c, nil
}
