package scaletest

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	// settleAfterStart is the time from the clients' start until the undisturbed phase begins.
	settleAfterStart = 3 * time.Second
	// settleTimeout limits the wait at the end of a run until every member has the last versions.
	settleTimeout = 10 * time.Second
	// settleInterval is the time between two checks whether every member has the last versions.
	settleInterval = time.Second
	// readyTimeout limits a request to a coordinator's readiness endpoint.
	readyTimeout = time.Second

	// lossStream separates the random numbers of link losses from other streams with the plan's seed.
	lossStream = 0x6c6f7373
)

// Run executes a plan once. The error is ErrBoundMissed if a bound was missed or a rule was broken; the result is
// complete in this case too. Any other error explains why the run could not be finished. Run returns early if ctx ends.
// Before it returns, it ends every process that it started.
func Run(ctx context.Context, plan *Plan, config Config) (*Result, error) {
	began := time.Now()
	result := &Result{Plan: plan.Name}
	if plan.Relays > 0 {
		var err error
		if result, err = runDistribution(ctx, plan, config); err != nil {
			return result, err
		}
	}
	if plan.Baseline != nil {
		for _, callDuration := range plan.Baseline.CallDurations {
			baseline, err := runBaseline(ctx, plan, config, callDuration)
			if err != nil {
				return result, err
			}
			result.Baseline = append(result.Baseline, baseline)
		}
	}
	result.Seconds = time.Since(began).Seconds()
	if result.checkBounds(plan); len(result.MissedBounds) > 0 {
		return result, ErrBoundMissed
	}
	return result, nil
}

// runDistribution runs the fleet with an authority and relays. If there is a result, errors of processes that are
// stopped at the end are added to its missed bounds instead of being returned.
func runDistribution(ctx context.Context, plan *Plan, config Config) (result *Result, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, err := newFleet(config, plan)
	if err != nil {
		return nil, err
	}
	defer func() {
		cancel()
		closeErr := f.close()
		if result != nil && closeErr != nil {
			result.MissedBounds = append(result.MissedBounds, strings.Split(closeErr.Error(), "\n")...)
			return
		}
		err = errors.Join(err, closeErr)
	}()
	return f.run(ctx)
}

// phases holds the instants at which the phases of a run begin and end.
type phases struct {
	starting    time.Time // the start of all members begins
	started     time.Time // every member has the endpoint list and the settings
	undisturbed time.Time // the clients have settled; Plan.Duration begins
	end         time.Time // Plan.Duration has passed; ordinary changes have stopped
}

// run starts the fleet, runs the plan's changes and faults, and returns the measurements.
func (f *fleet) run(ctx context.Context) (*Result, error) {
	sampler := newSampler(f)
	f.background.Go(func() { sampler.run(ctx) })
	var p phases
	if err := f.startAll(ctx, &p); err != nil {
		return nil, err
	}
	faults, err := f.runChangesAndFaults(ctx, &p)
	if err != nil {
		return nil, err
	}
	if err := f.settle(ctx); err != nil {
		return nil, err
	}
	result := f.measure(faults)
	f.measureCosts(result, sampler, p, faults)
	return result, nil
}

// startAll starts the control processes, then the members, then the clients.
func (f *fleet) startAll(ctx context.Context, p *phases) error {
	if err := f.startControl(ctx); err != nil {
		return err
	}
	f.background.Go(func() { f.watchAuthority(ctx) })
	p.starting = time.Now()
	if err := f.startMembers(); err != nil {
		return err
	}
	if err := f.awaitMembers(ctx); err != nil {
		return err
	}
	p.started = time.Now()
	return f.startClients(ctx)
}

// runChangesAndFaults publishes the ordinary changes and injects the faults for the plan's duration, and returns the
// faults as injected. Link losses start here too and continue until ctx ends.
func (f *fleet) runChangesAndFaults(ctx context.Context, p *phases) ([]*faultRun, error) {
	p.undisturbed = time.Now().Add(settleAfterStart)
	lossRand := rand.New(rand.NewPCG(f.plan.Seed, lossStream))
	f.background.Go(func() { f.network.injectLoss(ctx, lossRand, f.isIsolated) })
	changing, stopChanges := context.WithCancel(ctx)
	defer stopChanges()
	f.startChanges(changing)
	faults, err := f.runFaults(ctx, p.undisturbed)
	if err != nil {
		return nil, err
	}
	if err := f.waitUntil(ctx, p.undisturbed.Add(f.plan.Duration)); err != nil {
		return nil, err
	}
	stopChanges()
	p.end = time.Now()
	return faults, nil
}

// startClients waits until each real coordinator is ready, and starts its clients.
func (f *fleet) startClients(ctx context.Context) error {
	for _, m := range f.members {
		if !m.real {
			continue
		}
		for !isReady(m.address) {
			if err := f.wait(ctx, pollInterval); err != nil {
				return err
			}
		}
		if f.plan.Clients > 0 {
			pool, err := f.replicas.openClients(f.plan, f.Settings, m.name, m.address)
			if err != nil {
				return err
			}
			f.clientPools = append(f.clientPools, pool)
		}
	}
	return nil
}

// isReady reports whether the readiness endpoint of the coordinator at an address returns 200.
func isReady(address string) bool {
	client := http.Client{Timeout: readyTimeout}
	answer, err := client.Get("http://" + address + "/health/ready")
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	client.CloseIdleConnections()
	return answer.StatusCode == http.StatusOK
}

// settle publishes a last change, waits until every member has it and the last settings, but at most settleTimeout, and
// then stops the clients.
func (f *fleet) settle(ctx context.Context) error {
	f.publishProbe()
	for end := time.Now().Add(settleTimeout); time.Now().Before(end); {
		if err := f.wait(ctx, settleInterval); err != nil {
			return err
		}
		var v Violations
		for _, m := range f.members {
			f.checkLatestVersion(&v, m, List, f.publisher.published())
			f.checkLatestVersion(&v, m, Settings, f.publisher.published())
		}
		if v.Behind == 0 {
			break
		}
	}
	f.stopClients()
	return nil
}

// stopClients stops all clients and waits until they have received the answers to their requests. Only the first call
// has an effect.
func (f *fleet) stopClients() {
	f.stopClientsOnce.Do(func() {
		for _, pool := range f.clientPools {
			pool.Stop()
		}
	})
}
