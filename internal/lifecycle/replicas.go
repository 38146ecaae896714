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
	// responseTimeoutsPerObjective is the number of response time-outs that fit into the tightest latency objective, so
	// that another replica can still be called within the objective.
	responseTimeoutsPerObjective = 5
	// maxResponseTimeout is the upper bound of the response time-out for any latency objective.
	maxResponseTimeout = time.Second
)

// responseTimeout returns how long a replica's connection may be silent while responses are outstanding. It is far
// longer than a part takes, but short enough to call another replica within the tightest latency objective.
func responseTimeout(classes []scatter.Class) time.Duration {
	timeout := maxResponseTimeout
	for _, c := range classes {
		timeout = min(timeout, c.LatencyObjective/responseTimeoutsPerObjective)
	}
	return timeout
}

// newReplicaCallers adds the callers of replicas to cfg: always the one for frames and, if there is an OpenSearch
// front, the one for its API, which it returns (else nil). Each of the two may then open half of the connections to
// replicas.
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
