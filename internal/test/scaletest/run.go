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
	settleAfterStart = 3 * time.Second // until what is measured counts as calm
	defaultRecovery  = 30 * time.Second
	// margin is how long before and after a trouble changes count as its own.
	faultMargin = time.Second
	// lastWithin is how long the last change has to get everywhere before the members are held against it.
	settleTimeout = 10 * time.Second
)

// Run plays a plan. The error is ErrMissed where a bound was missed or a rule broken; the result is there also then.
func Run(ctx context.Context, plan *Plan, c Config) (*Result, error) {
	began := time.Now()
	result := &Result{Plan: plan.Name}
	var err error
	if plan.Relays > 0 {
		result, err = play(ctx, plan, c)
	}
	if err == nil && plan.Baseline != nil {
		for _, turn := range plan.Baseline.CallDurations {
			b, e := playBaseline(ctx, plan, c, turn)
			if err = e; err != nil {
				break
			}
			result.Baseline = append(result.Baseline, b)
		}
	}
	if err != nil {
		return result, err
	}
	result.Seconds = time.Since(began).Seconds()
	if result.checkBounds(plan); len(result.MissedBounds) > 0 {
		return result, ErrBoundMissed
	}
	return result, nil
}

// play plays the fleet with distribution.
func play(ctx context.Context, plan *Plan, c Config) (result *Result, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, err := newFleet(c, plan)
	if err != nil {
		return nil, err
	}
	defer func() {
		cancel()
		failed := f.close()
		if result != nil && failed != nil {
			result.MissedBounds = append(result.MissedBounds, strings.Split(failed.Error(), "\n")...)
			return
		}
		err = errors.Join(err, failed)
	}()
	sampler := newSampler(f)
	go sampler.run(ctx)
	if err := f.startControl(ctx); err != nil {
		return nil, err
	}
	go f.watchAuthority(ctx)
	starting := time.Now()
	if err := f.startMembers(); err != nil {
		return nil, err
	}
	if err := f.awaitMembers(ctx); err != nil {
		return nil, err
	}
	started := time.Now()
	if err := f.startClients(ctx); err != nil {
		return nil, err
	}
	calm := time.Now().Add(settleAfterStart)
	go f.network.injectLoss(ctx, rand.New(rand.NewPCG(plan.Seed, 0x6c6f7373)), f.isIsolated)
	changing, stopChanges := context.WithCancel(ctx)
	defer stopChanges()
	f.startChanges(changing)
	played, err := f.playFaults(ctx, calm)
	if err != nil {
		return nil, err
	}
	if err := f.pauseUntil(ctx, calm.Add(plan.Duration)); err != nil {
		return nil, err
	}
	stopChanges()
	over := time.Now()
	if err := f.settle(ctx); err != nil {
		return nil, err
	}
	result = f.measure(played)
	f.measureCosts(result, sampler, []time.Time{starting, started, calm, over}, played)
	return result, nil
}

// startClients lets the clients of the real members ask, once these take them.
func (f *fleet) startClients(ctx context.Context) error {
	for _, m := range f.members {
		if !m.real {
			continue
		}
		for !isReady(m.address) {
			if err := f.pause(ctx, pollInterval); err != nil {
				return err
			}
		}
		if f.plan.Clients > 0 {
			crowd, err := f.replicas.openClients(f.plan, f.Settings, m.name, m.address)
			if err != nil {
				return err
			}
			f.clientPools = append(f.clientPools, crowd)
		}
	}
	return nil
}

// ready tells whether a coordinator says that it takes clients.
func isReady(address string) bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + address + "/health/ready")
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	client.CloseIdleConnections()
	return answer.StatusCode == http.StatusOK
}

// settle publishes a last change and waits until every member has it, and the last settings, or for some seconds. Then the
// clients end.
func (f *fleet) settle(ctx context.Context) error {
	f.publishProbe()
	for end := time.Now().Add(settleTimeout); time.Now().Before(end); {
		if err := f.pause(ctx, time.Second); err != nil {
			return err
		}
		var b Violations
		for _, m := range f.members {
			f.checkEnd(&b, m, List, f.publisher.published())
			f.checkEnd(&b, m, Settings, f.publisher.published())
		}
		if b.Behind == 0 {
			break
		}
	}
	f.stopClients()
	return nil
}

// endClients lets all clients finish what they have asked.
func (f *fleet) stopClients() {
	f.stopClientsOnce.Do(func() {
		for _, c := range f.clientPools {
			c.Stop()
		}
	})
}
