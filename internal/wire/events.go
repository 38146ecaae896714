package wire

import "harepass/internal/decide/scatter"

// replicaStates maps the states in the rows of an endpoint list.
var replicaStates = map[string]scatter.ReplicaState{
	"active":  scatter.Ready,
	"leaving": scatter.Draining,
	"left":    scatter.Removed,
}

// updateKinds maps the scopes of an endpoint update.
var updateKinds = map[string]scatter.UpdateKind{
	"changes":    scatter.IncrementalUpdate,
	"all":        scatter.FullUpdate,
	"remembered": scatter.CachedUpdate,
	"refused":    scatter.FailedUpdate,
}

// outcomes maps the verdicts on an attempt. The index is a verdict's number on the wire, which differs from the value
// of its scatter.Outcome.
var outcomes = []scatter.Outcome{
	scatter.Errored,
	scatter.Succeeded,
	scatter.Rejected,
	scatter.TimedOut,
	scatter.ConnectFailed,
	scatter.ConnectionReset,
	scatter.Cancelled,
	scatter.NotSent,
}

// optionRetry is the bit of a query's options that marks a client's retry.
const optionRetry = 2

// message decodes one event line. known is false for messages that the module does not use, such as probe_done and
// mail, and for undocumented ones.
func (d *Decoder) message(f *fields) (m Message, known bool) {
	m.Line = d.line
	switch f.name {
	case "provision":
		m.Start = &Start{Seed: f.uint64("random_seed"), Settings: settings(f)}
	case "stop":
		m.Stop = true
	case "backends_changed":
		m.Event = d.endpointUpdate(f)
	case "ask":
		m.Event = arrival(f)
	case "ended":
		m.Event = attemptEnded(f)
	case "gone":
		m.Event = scatter.QueryCancelled{ID: f.string("tid")}
	case "deadline_hit":
		m.Event = scatter.TimerFired{}
	default:
		return m, false
	}
	m.Instance = f.string("root_id")
	return m, true
}

// replica decodes a row of an endpoint list.
func replica(row *fields) scatter.Replica {
	state, ok := replicaStates[row.string("state")]
	if !ok && row.err == nil {
		row.fail("state", "is unknown")
	}
	return scatter.Replica{
		ID:           row.string("leaf"),
		State:        state,
		Zone:         row.optionalString("dc"),
		RingPosition: row.optionalInt("position", 0),
		StartedAt:    row.optionalDuration("online_since_us"),
	}
}

// endpointUpdate decodes an update of the endpoint list. Every update except a failure names a list that an earlier
// line has defined.
func (d *Decoder) endpointUpdate(f *fields) scatter.EndpointUpdate {
	kind, ok := updateKinds[f.string("scope")]
	if !ok && f.err == nil {
		f.fail("scope", "is unknown")
	}
	update := scatter.EndpointUpdate{Kind: kind}
	if kind == scatter.FailedUpdate {
		return update
	}
	update.Replicas, ok = d.lists[f.int("table")]
	if !ok && f.err == nil {
		f.fail("table", "names no sheet")
	}
	return update
}

// arrival decodes the arrival of a query, whose shard is negative, or of one of its parts.
func arrival(f *fields) scatter.Event {
	shard := f.int("segment_no")
	if shard >= 0 {
		return scatter.PartArrived{
			ID:     f.string("tid"),
			Number: f.int64("group_no"),
			Shard:  shard,
			Weight: f.float("heft"),
		}
	}
	return scatter.QueryArrived{
		ID:      f.string("tid"),
		Number:  f.int64("group_no"),
		Class:   f.string("band"),
		Tenant:  f.optionalString("client_group"),
		Expires: f.duration("valid_until_us"),
		Parts:   int(f.float("heft")),
		IsRetry: f.optionalInt("options", 0)&optionRetry != 0,
	}
}

// attemptEnded decodes the outcome of an attempt.
func attemptEnded(f *fields) scatter.AttemptEnded {
	return scatter.AttemptEnded{
		Part:    f.string("tid"),
		Attempt: f.int("hop"),
		Replica: f.string("leaf"),
		Outcome: outcome(f),
		Latency: f.duration("time_taken_us"),
	}
}

// outcome decodes the verdict on an attempt.
func outcome(f *fields) scatter.Outcome {
	verdict := f.int("verdict")
	if f.err == nil && (verdict < 0 || verdict >= len(outcomes)) {
		f.fail("verdict", "is unknown")
	}
	if f.err != nil {
		return scatter.Errored
	}
	return outcomes[verdict]
}
