package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
	"harepass/internal/http1"
	"harepass/internal/inventory"
	"harepass/internal/loadshed"
	"harepass/internal/logmsg"
	"harepass/internal/operator"
	"harepass/internal/platform"
)

const (
	acceptAfterTerm = 700 * time.Millisecond // clients find out late that a coordinator leaves
	restAfterTerm   = 500 * time.Millisecond // so much later connections that have nothing open are closed, if that is well before the end
	killAfter       = 3 * time.Second        // where no class has a tighter deadline: after so long, and acceptAfterTerm, the platform kills
	killMargin      = 100 * time.Millisecond
	quietShare      = 5           // a fifth of the tightest aim
	quietMost       = time.Second // whatever the aims
	memoryShare     = 0.6         // of the limit, for the collector; stacks and buffers of sockets come on top
	apiBody         = 256 << 10   // bytes of a request of the OpenSearch-style API
)

// files are those of the operators that serve and check read.
type files struct {
	search, overload string
	distribution     string
	trace            bool
	against          string
}

// flags are those of serve and check.
func flags(name string, args []string, out io.Writer) (f files, err error) {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.StringVar(&f.search, "opensearch", defaultSearch, "the OpenSearch front's file; the front is off where the default is missing")
	fs.StringVar(&f.overload, "overload", defaultOverload, "the file of overload control, which is off where the default is missing")
	fs.StringVar(&f.distribution, "distribution", defaultDistribution, "the file of the relays that give out nodes and settings; they are not used where the default is missing")
	if name == "serve" {
		fs.BoolVar(&f.trace, "trace", false, "write each query, attempt, connection and list call to the log; for a look, not for service")
	}
	if name == "check" {
		fs.StringVar(&f.against, "against", "", "the configuration in force: lists what PROXY_CONFIG's settings would change in it")
	}
	return f, parse(fs, args, out)
}

// check reads all that serve would and starts nothing.
func check(args []string, out io.Writer) error {
	paths, err := flags("check", args, out)
	if err != nil {
		return err
	}
	s, err := load(os.Getenv, paths, core.SystemClock())
	if err == nil {
		_, err = core.New(core.Config{Settings: s.settings})
	}
	var changes []string
	if err == nil && paths.against != "" {
		changes, err = s.compareWith(paths.against)
	}
	if err != nil {
		return usageError{err}
	}
	for _, c := range changes {
		fmt.Fprintln(out, "change:", c)
	}
	fmt.Fprintf(out, "settings: %d classes, %d tenants, %d cells\n", len(s.settings.Classes), len(s.settings.Tenants), s.settings.RingSize)
	if s.config != nil {
		fmt.Fprintf(out, "platform: %s on %s, discovery at %s\n", s.config.Name, s.config.Listen, s.config.Discovery)
	}
	if s.search != nil {
		fmt.Fprintf(out, "opensearch: on %s, %d indices, %d callers\n", s.search.Listen, len(s.search.Indices), len(s.search.Callers))
		if classes := s.search.TwoPhaseClasses(); len(classes) > 0 {
			fmt.Fprintf(out, "two phases: for searches of %s, %d KiB of retained values\n", strings.Join(classes, ", "), s.limits.retained()>>10)
		}
	}
	if s.overload != nil {
		fmt.Fprintf(out, "overload control: loop delay %v, %d MB\n", s.overload.LoopDelay, s.overload.MemoryMB)
	}
	if d := s.distribution; d != nil {
		fmt.Fprintf(out, "distribution: %s from %d relays, zone %q of region %q\n", strings.Join(d.Resources, ", "), len(d.Sources), d.Zone, d.Region)
	}
	if s.inventory != nil {
		fmt.Fprintf(out, "inventory: %s, %d hosts\n", s.inventory.Path, len(s.hosts))
	}
	_, err = fmt.Fprintln(out, "ok")
	return err
}

// program is a running coordinator.
type program struct {
	*setup
	clock   core.Clock
	owner   *core.Coordinator
	disc    *platform.Discovery // nil without the platform, and where relays give out the nodes
	closers []func()
	servers []*http1.Server
	listens []net.Listener
	staff   *operator.Store // nil where operators have no door
	frames  *platform.Caller
	watch   *loadshed.Shedder // nil where overload control is off

	distributed         *platform.RelayedList // nil where discovery gives out the nodes
	settingsUpdates     <-chan settingsUpdate // nil where no relay gives out settings
	distributedSettings bool                  // those in force came from a relay
}

func serve(args []string, out io.Writer) error {
	paths, err := flags("serve", args, out)
	if err != nil {
		return err
	}
	if paths.trace {
		slog.SetLogLoggerLevel(slog.LevelDebug)
	}
	ends, again := make(chan os.Signal, 1), make(chan os.Signal, 1) // apart: reloads, however many, must not crowd out the end
	signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(again, syscall.SIGHUP)
	clock := core.SystemClock()
	s, err := load(os.Getenv, paths, clock)
	if err != nil {
		return usageError{err}
	}
	debug.SetMemoryLimit(int64(float64(s.limits.MemoryMB) * memoryShare * (1 << 20)))
	runtime.GOMAXPROCS(max(1, int(s.limits.Cores)))
	p := &program{setup: s, clock: clock}
	slog.Debug(logmsg.SettingsRead, logmsg.KeySlowStart, s.settings.SlowStart.Duration,
		"limits", s.limits, "caps", s.caps, "settings", s.settings)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := p.start(ctx); err != nil {
		return err
	}
	go logReady(p.owner, time.Now())
	go logCounters(ctx)
	p.obey(ends, again)
	p.drain()
	logTotals()
	return nil
}

// obey reads the files again at each signal to reload, and takes over the settings that relays give out, until it is told to
// end.
func (p *program) obey(ends, again <-chan os.Signal) {
	untilEnd(ends, again, p.settingsUpdates, p.reload, p.takeSettings)
}

// clients is how many connections clients may hold; the operators' door has its own beside them.
func (p *program) clients() int {
	if p.staff != nil {
		return p.limits.clients() - operator.MaxConns
	}
	return p.limits.clients()
}

// room is how many connections clients may hold now: nodes may have more than their quarter where there are many, for each
// is owed one.
func (p *program) room() int {
	return p.clients() - max(0, p.frames.OpenConns()-p.frames.MaxConns)
}

// makeRoom lets idle clients go before a connection to a node is opened, so that it finds a descriptor.
func (p *program) makeRoom() {
	for _, s := range p.servers {
		s.EvictExcess()
	}
}

// descriptors is the share of the connections that clients may hold which are in use.
func (p *program) descriptors() (share float64) {
	for _, s := range p.servers {
		share = max(share, float64(s.BusyConns())/float64(s.MaxConns))
	}
	return share
}

func (p *program) listen(address string, s *http1.Server) error {
	l, err := p.socketAt(address)
	if err != nil {
		return err
	}
	slog.Info("serving", "listen", l.Addr().String())
	p.listens, p.servers = append(p.listens, l), append(p.servers, s)
	return nil
}

// reload reads the platform's configuration and the inventory again. Each stays as it is where that fails.
func (p *program) reload() {
	if p.config != nil {
		if err := p.reloadPlatform(); err != nil {
			slog.Error("configuration not reloaded", "err", err)
		}
	}
	if p.inventory == nil {
		return
	}
	nodes, err := p.inventory.Read(p.clock())
	if err != nil {
		slog.Error("inventory not reloaded", "err", err)
		return
	}
	slog.Info("inventory reloaded", "nodes", len(nodes))
	p.owner.UpdateEndpoints(inventory.Source, scatter.FullUpdate, nodes)
}

// drain answers all that is taken, and takes what still comes while clients learn that this coordinator ends:
// they go on using the connections that they have, and another coordinator may not be up yet. So these are
// closed one by one, each with an answer, only when no new ones come any more. Where the platform holds the clients'
// socket, whoever knocks from now on waits for the process that takes it over, and none comes to this one.
func (p *program) drain() {
	slog.Info("draining", "phase", p.owner.Phase().String(), "closes_resting_after", p.closeTime(), "last_answer_after", p.drainTime())
	began := time.Now()
	p.owner.Drain()
	if p.socket == 0 {
		time.Sleep(acceptAfterTerm)
	}
	p.stopAccepting()
	for _, s := range p.servers {
		s.Drain()
	}
	time.Sleep(p.closeTime() - time.Since(began))
	for _, s := range p.servers {
		s.Shutdown()
	}
	p.owner.Stop()
	for _, end := range p.closers {
		end()
	}
	slog.Info("stopped")
}

// stopAccepting closes the listeners. Connections that wait at one of our own are taken first; those at a socket that the
// platform holds are for the process which takes over.
func (p *program) stopAccepting() {
	for i, l := range p.listens {
		if p.socket == 0 {
			p.servers[i].CloseListener(l)
		} else {
			l.Close()
		}
	}
}

func (p *program) coreLimits() core.Limits {
	return core.Limits{MaxOpen: p.caps.MaxOpen, Shards: p.caps.Shards, DrainTimeout: p.drainTime()}
}

// quietTime is how long a node's connection may be silent while answers are awaited: far longer than a part
// takes, but short enough to ask another node within the tightest aim.
func (p *program) quietTime() time.Duration {
	tightest := quietMost
	for _, c := range p.settings.Classes {
		tightest = min(tightest, c.LatencyObjective/quietShare)
	}
	return tightest
}

// patience is how long the platform waits, from acceptAfterTerm on, before it kills: the longest deadline, within bounds.
func (p *program) patience() time.Duration {
	longest := time.Duration(0)
	for _, c := range p.settings.Classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, killAfter)
}

// closeTime is when, after SIGTERM, connections that have nothing open are closed: what came on one later than that could
// not be answered any more where deadlines are short.
func (p *program) closeTime() time.Duration {
	return acceptAfterTerm + min(restAfterTerm, p.patience()/2)
}

// drainTime is when, after SIGTERM, the last query has to have its answer: before the platform kills.
func (p *program) drainTime() time.Duration {
	return acceptAfterTerm + p.patience() - min(killMargin, p.patience()/4)
}
