package lifecycle

import (
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
	"harepass/internal/decide/twophase"
	"harepass/internal/opensearch"
	"harepass/internal/platform"
)

const (
	// responseTimeoutsPerObjective is how many response time-outs fit into the tightest latency objective, so that
	// another replica can still be asked within it.
	responseTimeoutsPerObjective = 5
	// maxResponseTimeout bounds the response time-out whatever the objectives are.
	maxResponseTimeout = time.Second
)

// responseTimeout is how long a replica's connection may be silent while responses are due: far longer than a part
// takes, but short enough to ask another replica within the tightest latency objective.
func responseTimeout(classes []scatter.Class) time.Duration {
	timeout := maxResponseTimeout
	for _, c := range classes {
		timeout = min(timeout, c.LatencyObjective/responseTimeoutsPerObjective)
	}
	return timeout
}

// newReplicaCallers adds the callers of replicas to cfg: that of frames always, and where there is an OpenSearch front
// also that of its API, which is returned. Both then share the connections to replicas.
func (p *process) newReplicaCallers(cfg *core.Config) (apiCaller *opensearch.Caller) {
	limits := p.ProtocolLimits
	p.frameCaller = &platform.Caller{CallsPerConn: limits.CallsPerConn, MaxConns: p.Limits.ReplicaConns(),
		ConnectTimeout: limits.ConnectTimeout, ResponseTimeout: responseTimeout(p.Settings.Classes),
		KeepAlive: limits.KeepAlive}
	cfg.Callers[platform.Scheme] = p.frameCaller
	p.onStop = append(p.onStop, p.frameCaller.Close)
	if p.OpenSearch == nil {
		return nil
	}
	p.frameCaller.MaxConns = max(1, p.frameCaller.MaxConns/2)
	apiCaller = &opensearch.Caller{Config: p.OpenSearch, MaxConns: p.frameCaller.MaxConns,
		ConnectTimeout: limits.ConnectTimeout, KeepAlive: limits.KeepAlive}
	cfg.Callers[opensearch.Scheme] = apiCaller
	if cfg.TwoPhaseClasses = p.OpenSearch.TwoPhaseClasses(); len(cfg.TwoPhaseClasses) > 0 {
		cfg.CacheBytes = p.Limits.TwoPhaseCacheBytes()
		cfg.TwoPhaseSchemes = map[string]bool{opensearch.Scheme: true}
		cfg.Planner = twophase.New(cfg.CacheBytes)
	}
	p.onStop = append(p.onStop, apiCaller.Close)
	return apiCaller
}
