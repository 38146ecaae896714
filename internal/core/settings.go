package core

import (
	"errors"
	"fmt"

	"harepass/internal/decide/retry"
	"harepass/internal/decide/scatter"
)

var (
	// ErrSecondRound is returned for settings that contain a class with a second round, which no front of this program
	// supports.
	ErrSecondRound = errors.New("core: classes with a second step are not served")
	// ErrStopped is returned by calls to a Coordinator whose Run has returned.
	ErrStopped = errors.New("core: stopped")
)

// settingsInForce holds the settings and limits that are in force together. It is immutable, so any goroutine may read
// it.
type settingsInForce struct {
	scatter.Settings
	limits Limits
}

// inForce returns the settings in force. Any goroutine may call it.
func (c *Coordinator) inForce() *settingsInForce { return c.settings.Load() }

// Shards returns the number of shards in the settings in force; 0 if it is unknown. Any goroutine may call it.
func (c *Coordinator) Shards() int { return c.inForce().limits.Shards }

// class returns the class with the given name, or nil if there is none.
func (s *settingsInForce) class(name string) *scatter.Class {
	for i := range s.Classes {
		if s.Classes[i].Name == name {
			return &s.Classes[i]
		}
	}
	return nil
}

// retryPolicy returns the policy of the class with the given name, or the zero policy if there is none.
func (s *settingsInForce) retryPolicy(class string) retry.Policy {
	if c := s.class(class); c != nil {
		return c.RetryPolicy()
	}
	return retry.Policy{}
}

// checkSupported returns ErrSecondRound, with the class's name, for settings that this program does not support.
func checkSupported(s scatter.Settings) error {
	for _, class := range s.Classes {
		if class.SecondRoundParts > 0 {
			return fmt.Errorf("%w: %s", ErrSecondRound, class.Name)
		}
	}
	return nil
}

// Configure puts settings and limits in force, either all of them or, if it returns an error, none. The error is
// ErrSecondRound, a *scatter.SettingError, or ErrStopped. Queries that were submitted before keep their class.
// Configure waits without a limit, while the queue is full and until a tick has applied the settings, so the
// coordinator's own goroutine must not call it.
func (c *Coordinator) Configure(s scatter.Settings, l Limits) error {
	if err := checkSupported(s); err != nil {
		return err
	}
	result := make(chan error, 1)
	c.post(configureRequest{&settingsInForce{s, l}, result})
	select {
	case err := <-result:
		return err
	case <-c.stopped:
		return ErrStopped
	}
}

type configureRequest struct {
	settings *settingsInForce
	result   chan error // has a buffer of one, so the coordinator does not block
}

func (m configureRequest) apply(c *Coordinator) {
	c.step() // earlier events are handled under the old settings
	err := c.machine.Configure(withFirstPhases(m.settings.Settings, c.cfg.TwoPhaseClasses))
	if err == nil {
		c.settings.Store(m.settings)
		c.endpoints.forgetFirstPhaseSupport()
		c.endpoints.resizeRing(m.settings.RingSize, m.settings.ReplicationFactor)
	}
	m.result <- err
}
