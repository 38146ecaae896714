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
	// settleAfterStart is the time from the clients' start until the fleet counts as undisturbed.
	settleAfterStart = 3 * time.Second
	// settleTimeout bounds the wait at the end of a run for every member to have the last versions.
	settleTimeout = 10 * time.Second
	// settleInterval is the time between two looks at whether every member has the last versions.
	settleInterval = time.Second
	// readyTimeout bounds a request to a coordinator's readiness endpoint.
	readyTimeout = time.Second

	// lossStream tells the random draws of lost links from others with the plan's seed.
	lossStream = 0x6c6f7373
)

// Run plays a plan once. The error is ErrBoundMissed where a bound was missed or a rule broken; the result is
// complete then as well. Other errors say why the run could not be finished. Run returns early once ctx ends, and has
// ended every process that it started when it returns.
func Run(ctx context.Context, plan *Plan, config Config) (*Result, error) {
	began := time.Now()
	result := &Result{Plan: plan.Name}
	if plan.Relays > 0 {
		var err error
		if result, err = playDistribution(ctx, plan, config); err != nil {
			return result, err
		}
	}
	if plan.Baseline != nil {
		for _, callDuration := range plan.Baseline.CallDurations {
			baseline, err := playBaseline(ctx, plan, config, callDuration)
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

// playDistribution plays the fleet with an authority and relays. Processes that failed only at their end are bounds
// missed where there is a result.
func playDistribution(ctx context.Context, plan *Plan, config Config) (result *Result, err error) {
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
	return f.play(ctx)
}

// phases are the instants that divide a run.
type phases struct {
	starting    time.Time // all members are started from here on
	started     time.Time // every member has the endpoint list and the settings
	undisturbed time.Time // the clients have settled; Plan.Duration begins
	over        time.Time // Plan.Duration has passed; no more ordinary changes
}

// play starts everything, plays changes and faults, and measures.
func (f *fleet) play(ctx context.Context) (*Result, error) {
	sampler := newSampler(f)
	f.background.Go(func() { sampler.run(ctx) })
	var p phases
	if err := f.startAll(ctx, &p); err != nil {
		return nil, err
	}
	faults, err := f.disturb(ctx, &p)
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

// disturb plays the ordinary changes, the losses of links and the faults for the plan's duration, and returns the
// faults as they were played.
func (f *fleet) disturb(ctx context.Context, p *phases) ([]*faultRun, error) {
	p.undisturbed = time.Now().Add(settleAfterStart)
	lossRand := rand.New(rand.NewPCG(f.plan.Seed, lossStream))
	f.background.Go(func() { f.network.injectLoss(ctx, lossRand, f.isIsolated) })
	changing, stopChanges := context.WithCancel(ctx)
	defer stopChanges()
	f.startChanges(changing)
	faults, err := f.playFaults(ctx, p.undisturbed)
	if err != nil {
		return nil, err
	}
	if err := f.waitUntil(ctx, p.undisturbed.Add(f.plan.Duration)); err != nil {
		return nil, err
	}
	stopChanges()
	p.over = time.Now()
	return faults, nil
}

// startClients starts the clients of each real coordinator once it is ready for them.
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

// isReady reports whether the coordinator at an address says that it accepts clients.
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

// settle publishes a last change and waits until every member has it and the last settings, or until settleTimeout has
// passed. After that it stops the clients.
func (f *fleet) settle(ctx context.Context) error {
	f.publishProbe()
	for end := time.Now().Add(settleTimeout); time.Now().Before(end); {
		if err := f.wait(ctx, settleInterval); err != nil {
			return err
		}
		var v Violations
		for _, m := range f.members {
			f.checkEnd(&v, m, List, f.publisher.published())
			f.checkEnd(&v, m, Settings, f.publisher.published())
		}
		if v.Behind == 0 {
			break
		}
	}
	f.stopClients()
	return nil
}

// stopClients waits until all clients have had the answers to what they have sent. Only the first call does anything.
func (f *fleet) stopClients() {
	f.stopClientsOnce.Do(func() {
		for _, pool := range f.clientPools {
			pool.Stop()
		}
	})
}
