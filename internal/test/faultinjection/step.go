package faultinjection

import (
	"fmt"
	"path"
	"strings"
	"time"
)

// Values of Step.Cut.
const (
	cutToServer = "there"
	cutToClient = "back"
	cutBoth     = "both"
)

// Step is one step of a scenario. Coordinators are named c0, c1 and so on, replicas n0, n1 and so on, and discovery is
// named registry. Fields that name coordinators or replicas contain path.Match patterns, separated by blanks. A step
// has exactly one action: one of Kill, Stop, Pause, Resume, Start, Suspend, Reload, Terminate, Discovery, Resize, Link
// and Replica. The other fields, except At, are parameters of these.
type Step struct {
	// At is when the step begins, counted from when all coordinators first serve.
	At time.Duration `yaml:"at"`

	// Kill names coordinators that get SIGKILL.
	Kill string `yaml:"kill"`
	// Stop names coordinators that get SIGTERM; the step waits until they exit.
	Stop string `yaml:"stop"`
	// Pause names coordinators that get SIGSTOP.
	Pause string `yaml:"pause"`
	// Resume names paused coordinators that get SIGCONT.
	Resume string `yaml:"resume"`
	// Start names coordinators whose process starts again, with the endpoint list that discovery has then.
	Start string `yaml:"start"`

	// Suspend names coordinators that get SIGSTOP, and SIGCONT after For, as happens on a busy machine. The rules make
	// no exception for it.
	Suspend string `yaml:"hold"`
	// Reload names coordinators that reload their configuration (SIGHUP).
	Reload string `yaml:"reload"`
	// Terminate names coordinators that get SIGTERM, then SIGKILL as soon as the platform may send it, and a new
	// process For after their exit.
	Terminate string `yaml:"term"`
	// For belongs to Suspend and Terminate.
	For time.Duration `yaml:"for"`

	// Discovery is how discovery treats calls from now on: sound, down, crowded or silent.
	Discovery string `yaml:"discovery"`

	// Resize is the new fleet size. Coordinators beyond it are stopped; those within it that do not run are started.
	Resize int `yaml:"grow"`
	// Reconfigure belongs to Resize: it names running coordinators that reload their configuration with the new fleet
	// size now (all if empty). The others do so at a later Resize step.
	Reconfigure string `yaml:"told"`

	// Link is "FROM TO": a pattern of coordinators, and a pattern of replicas or registry. Exactly one of the fields
	// from Cut to Reorder defines what happens to the links between them; only Drop, Duplicate and Reorder may be
	// combined.
	Link string `yaml:"link"`
	// Cut is the direction whose bytes are held back, with no notice to either side: there, back or both.
	Cut string `yaml:"cut"`
	// Heal ends all faults of the links.
	Heal bool `yaml:"heal"`
	// Reset resets the open connections.
	Reset bool `yaml:"reset"`
	// Delay is how long each piece of at most 16 KB is held back.
	Delay time.Duration `yaml:"delay"`
	// Rate bounds the bytes per second in each direction.
	Rate int `yaml:"rate"`
	// Drop is the share of the replicas' answers that never arrive.
	Drop float64 `yaml:"lose"`
	// Duplicate is the share of the replicas' answers that arrive twice.
	Duplicate float64 `yaml:"twice"`
	// Reorder is the share of the replicas' answers that arrive after the next one.
	Reorder float64 `yaml:"swap"`

	// Replica names replicas that change to the state Becomes.
	Replica string `yaml:"node"`
	// Becomes belongs to Replica: drained, gone, back (a new process, in slow start), hung, failing or sound.
	Becomes ReplicaState `yaml:"becomes"`
}

// Kinds of steps, as Step.Kind returns them and Soak takes them.
const (
	kindKill      = "kill"
	kindTerminate = "term"
	kindSuspend   = "hold"
	kindReload    = "reload"
	kindDiscovery = "discovery"
	kindReplica   = "node"
	kindLink      = "link"
	kindStop      = "stop"
	kindPause     = "pause"
	kindResize    = "grow"
)

// Kind names the step's kind of action; empty if the step has no action. A start has the kind of a kill, and a resume
// that of a pause.
func (st Step) Kind() string {
	switch {
	case st.Kill != "" || st.Start != "":
		return kindKill
	case st.Terminate != "":
		return kindTerminate
	case st.Suspend != "":
		return kindSuspend
	case st.Reload != "":
		return kindReload
	case st.Discovery != "":
		return kindDiscovery
	case st.Replica != "":
		return kindReplica
	case st.Link != "":
		return kindLink
	case st.Stop != "":
		return kindStop
	case st.Pause != "" || st.Resume != "":
		return kindPause
	case st.Resize > 0:
		return kindResize
	}
	return ""
}

// match lists the numbers from 0 to n-1 whose names, a letter followed by the number, match one of the patterns.
func match(patterns, letter string, n int) (numbers []int) {
	for i := range n {
		for _, pattern := range strings.Fields(patterns) {
			if ok, _ := path.Match(pattern, fmt.Sprint(letter, i)); ok {
				numbers = append(numbers, i)
				break
			}
		}
	}
	return numbers
}
