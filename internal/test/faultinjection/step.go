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

// Step is one thing that happens. Coordinators are named c0, c1 and so on, replicas n0, n1 and so on, and discovery
// registry. Names are patterns as in path.Match, several of them with blanks between. A step has exactly one action:
// one of Kill, Stop, Pause, Resume, Start, Suspend, Reload, Terminate, Discovery, Resize, Link and Replica. The other
// fields belong to one of these.
type Step struct {
	// At is when the step begins, since all coordinators served first.
	At time.Duration `yaml:"at"`

	// Kill names coordinators that get SIGKILL.
	Kill string `yaml:"kill"`
	// Stop names coordinators that get SIGTERM; the step waits for their end.
	Stop string `yaml:"stop"`
	// Pause names coordinators that get SIGSTOP.
	Pause string `yaml:"pause"`
	// Resume names paused coordinators that get SIGCONT.
	Resume string `yaml:"resume"`
	// Start names coordinators whose process starts again, with the endpoint list as it is by then.
	Start string `yaml:"start"`

	// Suspend names coordinators that get SIGSTOP, and SIGCONT after For, as on a busy machine. It eases no rule.
	Suspend string `yaml:"hold"`
	// Reload names coordinators that read their configuration anew (SIGHUP).
	Reload string `yaml:"reload"`
	// Terminate names coordinators that get SIGTERM, SIGKILL as soon as the platform may, and a new process For after
	// their end.
	Terminate string `yaml:"term"`
	// For belongs to Suspend and Terminate.
	For time.Duration `yaml:"for"`

	// Discovery is how discovery treats calls from now on: sound, down, crowded or silent.
	Discovery string `yaml:"discovery"`

	// Resize is the new number of coordinators; the last ones are stopped.
	Resize int `yaml:"grow"`
	// Reconfigure belongs to Resize: it names running coordinators that read the new number now (all if empty). The
	// others do at the next such step.
	Reconfigure string `yaml:"told"`

	// Link is "FROM TO": coordinators, and replicas or registry. One of the fields below says what happens to the
	// links between them; Drop, Duplicate and Reorder go together.
	Link string `yaml:"link"`
	// Cut is the direction in which nothing arrives, and nobody is notified: there, back or both.
	Cut string `yaml:"cut"`
	// Heal ends all faults of the links.
	Heal bool `yaml:"heal"`
	// Reset resets the connections that stand.
	Reset bool `yaml:"reset"`
	// Delay holds back each piece of at most 16 KB.
	Delay time.Duration `yaml:"delay"`
	// Rate bounds the bytes a second in each direction.
	Rate int `yaml:"rate"`
	// Drop is the share of the replicas' answers that never arrive.
	Drop float64 `yaml:"lose"`
	// Duplicate is the share of the replicas' answers that arrive twice.
	Duplicate float64 `yaml:"twice"`
	// Reorder is the share of the replicas' answers that arrive after the next one.
	Reorder float64 `yaml:"swap"`

	// Replica names replicas that change.
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

// Kind names what the step does; empty for a step that does nothing. A start after a kill is of the kill's kind, and
// a resumption is of the pause's.
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

// match lists which of n names, made of a letter and a number from 0 on, some patterns match.
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
