package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"testing"
	"time"

	"harepass/internal/decide/backoff"
	"harepass/internal/test/fake"
	"harepass/internal/test/faultinjection"
)

// Seeds of TestUpgradeSoak. By hand, more are played: -args -upgrade-first 100 -upgrade-seeds 50.
var (
	firstUpgradeSeed = flag.Uint64("upgrade-first", 1, "the first seed of TestUpgradeSoak")
	upgradeSeeds     = flag.Uint64("upgrade-seeds", 4, "how many seeds TestUpgradeSoak plays")
)

const (
	soakUpgrades   = 4                      // of a seed's play
	minStepPause   = 100 * time.Millisecond // longer than a process needs to pass on what it was told
	maxStepPause   = 800 * time.Millisecond // between two steps
	minObservation = 2 * time.Second        // after the steps of an upgrade
	maxObservation = 6 * time.Second
	drainingCount  = 3 // the first replicas, which may drain; each shard has a holder among the others
)

// upgradeSoak is a coordinator whose discovery, replicas and processes change as drawn from a seed.
type upgradeSoak struct {
	*upgradeRun
	random    *rand.Rand
	processes []*faultinjection.Process // that run, in the order of their starts
	kills     int
	starts    []processStart // guarded by upgradeRun.mu
	violated  []string       // parts that came too late; guarded by upgradeRun.mu
	began     time.Time
}

// processStart is the start of a process.
type processStart struct{ begunAt, readyAt time.Time }

// New versions take over from each other, are killed or suspended, while discovery is crowded, loses its watches and is
// restarted with a lower index, and replicas drain, leave and return. Whatever is drawn, no part reaches a replica after
// its drain binds the coordinator, and each query is served or rejected.
func TestUpgradeSoak(t *testing.T) {
	for seed := *firstUpgradeSeed; seed < *firstUpgradeSeed+*upgradeSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := &upgradeSoak{upgradeRun: newUpgradeRun(t), random: rand.New(rand.NewPCG(seed, 0)), began: time.Now()}
			for i := range drainingCount {
				s.Replicas[i].OnPart = func(fake.Part, fake.Kind) { s.checkPart(i) }
			}
			s.startProcess()
			stop := s.startLoad()
			for range soakUpgrades {
				s.upgrade()
			}
			stop()
			s.checkSoak()
		})
	}
}

// note logs a step with its time.
func (s *upgradeSoak) note(format string, args ...any) {
	s.t.Logf("%6.3f %s", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// checkPart records a part at a replica whose drain has bound the coordinator for longer than the grace. A change binds
// once it is told to any process, or counts as notified. If that is after a new process was started, it binds from
// bindsAfterReady after the process was ready.
func (s *upgradeSoak) checkPart(replica int) {
	now := time.Now()
	e := s.discovery.entry(fmt.Sprint("f", replica))
	if e.Status == fake.StatusInService {
		return
	}
	binds := e.changedAt.Add(backoff.NotifiedAfter)
	if !e.toldAt.IsZero() && e.toldAt.Before(binds) {
		binds = e.toldAt
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	told := binds
	for _, start := range s.starts {
		if from := start.readyAt.Add(bindsAfterReady); told.After(start.begunAt.Add(-minStepPause)) && from.After(binds) {
			binds = from
		}
	}
	if over := now.Sub(binds.Add(drainGrace + notifySlack)); over > 0 {
		s.violated = append(s.violated, fmt.Sprintf("%6.3f f%d, %v too late", now.Sub(s.began).Seconds(), replica, over))
	}
}

// startProcess starts a process and waits until it is ready.
func (s *upgradeSoak) startProcess() {
	begunAt := time.Now()
	p, readyAt := s.startReady()
	s.mu.Lock()
	s.starts = append(s.starts, processStart{begunAt, readyAt})
	s.mu.Unlock()
	s.processes = append(s.processes, p)
	s.note("process %d is ready", p.Process.Pid)
}

// upgrade starts a new process, and has discovery crowded and some replicas drained about then, in an order that is
// drawn. Then it ends processes until one is left, and everything recovers.
func (s *upgradeSoak) upgrade() {
	steps := []func(){s.startProcess, s.crowd, s.drainOne}
	for _, step := range []func(){s.resetOlderConns, s.drainOne, s.restartDiscovery, s.suspendOne, s.suspendOne, s.endOne} {
		if s.random.IntN(3) == 0 {
			steps = append(steps, step)
		}
	}
	s.random.Shuffle(len(steps), func(i, j int) { steps[i], steps[j] = steps[j], steps[i] })
	for _, step := range steps {
		step()
		s.pause(minStepPause, maxStepPause)
	}
	s.pause(minObservation, maxObservation)
	for len(s.processes) > 1 {
		s.endOne()
		s.pause(minStepPause, maxStepPause)
	}
	s.recover()
}

// pause waits for a time that is drawn.
func (s *upgradeSoak) pause(shortest, longest time.Duration) {
	time.Sleep(shortest + time.Duration(s.random.Int64N(int64(longest-shortest))))
}

// crowd begins the crowd.
func (s *upgradeSoak) crowd() {
	s.note("discovery is crowded")
	s.discovery.setCrowded(true)
}

// drainOne drains or removes a replica.
func (s *upgradeSoak) drainOne() {
	name := fmt.Sprint("f", s.random.IntN(drainingCount))
	status := fake.StatusTerminating
	if s.random.IntN(3) == 0 {
		status = fake.StatusTerminated
	}
	s.note("%s is %s from version %d on", name, status, s.discovery.setStatus(name, status))
}

// restartDiscovery restarts discovery with a lower index.
func (s *upgradeSoak) restartDiscovery() {
	lost := s.random.Int64N(firstVersion)
	s.note("discovery is restarted %d versions earlier", lost)
	s.discovery.restart(lost)
}

// recover ends the crowd, returns all replicas and waits until queries are served.
func (s *upgradeSoak) recover() {
	s.note("the crowd ends, and all replicas return")
	s.discovery.setCrowded(false)
	for i := range drainingCount {
		s.discovery.setStatus(fmt.Sprint("f", i), fake.StatusInService)
	}
	eventually(s.t, "queries are served after the crowd", s.servesAgain)
	s.pause(minStepPause, maxStepPause)
}

// resetOlderConns resets the connections of the processes that were started before one that is drawn, or of all. Those
// processes have to call again, which fails in a crowd.
func (s *upgradeSoak) resetOlderConns() {
	s.mu.Lock()
	starts := s.starts[max(0, len(s.starts)-2):]
	s.mu.Unlock()
	before := time.Now()
	if i := s.random.IntN(len(starts) + 1); i < len(starts) {
		before = starts[i].begunAt
	}
	s.note("connections from before %v ago are reset", time.Since(before))
	s.discovery.resetBefore(before)
}

// suspendOne suspends a process for a time that it may be held up on a busy machine.
func (s *upgradeSoak) suspendOne() {
	p := s.processes[s.random.IntN(len(s.processes))]
	s.note("process %d is suspended", p.Process.Pid)
	p.Process.Signal(syscall.SIGSTOP)
	time.Sleep(time.Duration(s.random.Int64N(int64(stallTime))))
	p.Process.Signal(syscall.SIGCONT)
}

// endOne ends or kills one of several processes: mostly the oldest one, else any.
func (s *upgradeSoak) endOne() {
	if len(s.processes) == 1 {
		return
	}
	i := 0
	if s.random.IntN(3) == 0 {
		i = s.random.IntN(len(s.processes))
	}
	p := s.processes[i]
	s.processes = slices.Delete(s.processes, i, i+1)
	if s.random.IntN(2) == 0 {
		s.note("process %d is killed", p.Process.Pid)
		s.kills++
		s.kill(p)
		return
	}
	s.note("process %d is told to end", p.Process.Pid)
	p.Process.Signal(syscall.SIGTERM)
}

// servesAgain reports whether a query is served.
func (s *upgradeSoak) servesAgain() bool {
	return query(s.t, s.ClientListener.Addr().String(), 0, 2, 4) == 200
}

// checkSoak fails if a part came too late, or if a query had another end than an answer or a rejection.
func (s *upgradeSoak) checkSoak() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.violated); n > 0 {
		s.t.Errorf("%d parts reached replicas too late after their drain; the first and the last: %s; %s", n, s.violated[0],
			s.violated[n-1])
	}
	if s.statuses[0] <= s.kills*maxOpenQueries {
		delete(s.statuses, 0)
	}
	checkServedOrRejected(s.t, s.statuses)
}
