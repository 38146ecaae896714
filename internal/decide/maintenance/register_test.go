package maintenance

import (
	"maps"
	"testing"
	"time"

	"harepass/internal/decide/scatter"

	"pgregory.net/rapid"
)

// call is the last call for a replica in the model.
type call struct {
	out          bool
	at, outSince time.Duration
}

// checkEffective checks how a replica appears to the scatter machine after its last call. It checks nothing for a
// replica that discovery has not listed.
func (c call) checkEffective(t *rapid.T, listed, effective scatter.Replica) {
	restartedWhileOut := listed.StartedAt > c.outSince
	switch {
	case listed.ID == "":
		return
	case c.out && effective.State == scatter.Ready:
		t.Fatalf("replica %s is out but appears as ready", listed.ID)
	case c.out && effective.StartedAt != listed.StartedAt:
		t.Fatalf("replica %s is out and listed as %v, but appears with another start time as %v",
			listed.ID, listed, effective)
	case !c.out && effective.State != listed.State:
		t.Fatalf("replica %s was called back and is listed as %v, but appears in another state as %v",
			listed.ID, listed, effective)
	case !c.out && restartedWhileOut && effective.StartedAt != listed.StartedAt:
		t.Fatalf("replica %s restarted at %v while out, but appears as started at %v",
			listed.ID, listed.StartedAt, effective.StartedAt)
	case !c.out && !restartedWhileOut && effective.StartedAt != c.at:
		t.Fatalf("replica %s was called back at %v without a restart, but appears as started at %v",
			listed.ID, c.at, effective.StartedAt)
	}
}

// Two processes of a coordinator receive operators' calls. Meanwhile discovery lists arbitrary states, and copies of
// the registers arrive late, more than once and in any order. A model keeps the last call for each replica by the time
// of the call. Both registers, once merged, must agree with the model, and so must the replicas as they appear to the
// scatter machine.
func TestRegistersAgreeInAnyOrderOfMerging(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := rapid.SampledFrom([]string{"a", "b", "c"})
		registers := []Register{{}, {}}
		var sent []Register // copies that may arrive at any later time, and more than once
		last := map[string]call{}
		now := time.Hour
		listed := map[string]scatter.Replica{}
		t.Repeat(map[string]func(*rapid.T){
			"call": func(t *rapid.T) {
				now += time.Second
				id, out := ids.Draw(t, "id"), rapid.Bool().Draw(t, "out")
				process := rapid.IntRange(0, 1).Draw(t, "process")
				registers[process].Merge(registers[1-process]) // as operator.Store does before each call
				was := registers[process][id].Out
				if changed := registers[process].Apply(id, Entry{Out: out, At: now}); changed != (was != out) {
					t.Fatalf("replica %s: Apply of out=%t after out=%t returned changed=%t", id, out, was, changed)
				} else if changed {
					last[id] = call{out, now, last[id].at}
				}
			},
			"send": func(t *rapid.T) {
				sent = append(sent, maps.Clone(registers[rapid.IntRange(0, 1).Draw(t, "process")]))
			},
			"arrive": func(t *rapid.T) {
				if len(sent) > 0 {
					process := rapid.IntRange(0, 1).Draw(t, "process")
					registers[process].Merge(sent[rapid.IntRange(0, len(sent)-1).Draw(t, "copy")])
				}
			},
			"list": func(t *rapid.T) {
				id := ids.Draw(t, "id")
				listed[id] = scatter.Replica{
					ID:        id,
					State:     scatter.ReplicaState(rapid.IntRange(0, 2).Draw(t, "state")),
					StartedAt: time.Duration(rapid.IntRange(0, 5000).Draw(t, "started_at")) * time.Second,
				}
			},
			"": func(t *rapid.T) {
				all := maps.Clone(registers[0])
				all.Merge(registers[1])
				other := maps.Clone(registers[1])
				other.Merge(registers[0])
				if !maps.Equal(all, other) {
					t.Fatalf("the order of merging changes the result: %v or %v", all, other)
				}
				if all.Merge(other) {
					t.Fatal("merging a register a second time changes the result")
				}
				for id, c := range last {
					if all[id].Out != c.out {
						t.Fatalf("replica %s: out=%t, but the last call that changed it was out=%t",
							id, all[id].Out, c.out)
					}
					c.checkEffective(t, listed[id], all.Effective(listed[id]))
				}
			},
		})
	})
}

// A replica is taken out at one process and called back later at another process, whose clock lags behind by a second.
// The call back must take effect in this register and in any register that merges it.
func TestCallBackCountsThoughItsClockLags(t *testing.T) {
	r := Register{}
	r.Apply("a", Entry{Out: true, At: 10 * time.Second})
	r.Apply("a", Entry{Out: false, At: 9 * time.Second})
	other := Register{"a": {Out: true, At: 10 * time.Second}}
	if other.Merge(r); other["a"].Out || len(other.Out()) != 0 {
		t.Errorf("replica a is still out after merging its call back: %v", other)
	}
}

// Prune drops the entries of replicas that were called back long ago, but never those of replicas that are out.
func TestPruneKeepsReplicasThatAreOut(t *testing.T) {
	r := Register{"back": {At: 4 * time.Second}, "out": {Out: true, At: time.Second}}
	if r.Prune(time.Minute, nil); len(r) != 1 || len(r.Out()) != 1 {
		t.Errorf("entries after Prune: %v, want only the replica that is out", r)
	}
}
