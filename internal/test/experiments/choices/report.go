package choices

import (
	"fmt"

	"harepass/internal/test/experiment"
)

// Targets of the fleets whose coordinators know their ordinals.
const (
	maxImbalance        = 1.15 // parts, connections or probes of the busiest replica, as a multiple of the mean
	maxConnectionsShare = 0.5  // open connections of the fleet, as a share of those without ordinals
	minZoneLostGain     = 1.15 // weight earned with a zone lost, as a multiple of that without ordinals
	maxEarnedLoss       = 0.01 // largest loss of earned share in normal operation, compared with no ordinals
)

// reportSize reports the two fleets of one size and checks the targets of the fleet with ordinals.
func reportSize(r *experiment.Report, size fleetSize, c comparison) error {
	for _, knowOrdinals := range []bool{false, true} {
		if err := reportFleet(r, size, knowOrdinals, *c.of(knowOrdinals)); err != nil {
			return err
		}
	}
	n := size.coordinators
	r.Expect(c.with.partImbalance <= maxImbalance, "%d: the busiest node is sent %.2f times the mean",
		n, c.with.partImbalance)
	r.Expect(c.with.connectionImbalance <= maxImbalance,
		"%d: the busiest node holds %.2f times the connections of the mean", n, c.with.connectionImbalance)
	r.Expect(c.with.probeImbalance <= maxImbalance,
		"%d: the node tried most is tried %.2f times as often as the mean", n, c.with.probeImbalance)
	r.Expect(c.with.overloadedReplicas == 0, "%d: %d nodes pushed over", n, c.with.overloadedReplicas)
	r.Expect(c.with.earnedFraction >= c.without.earnedFraction-maxEarnedLoss,
		"%d: worth at work %.3f, %.3f without places", n, c.with.earnedFraction, c.without.earnedFraction)
	r.Figure(fmt.Sprintf("busiest_%d", n), "%.2f",
		max(c.with.partImbalance, c.with.connectionImbalance, c.with.probeImbalance))
	return nil
}

// reportFleet adds the table row of a fleet, and writes its heat map if result files are wanted.
func reportFleet(r *experiment.Report, size fleetSize, knowOrdinals bool, v result) error {
	places := "no"
	if knowOrdinals {
		places = "yes"
	}
	r.Row(size.coordinators, size.replicas, places,
		hundredths(v.partImbalance), fmt.Sprintf("%.4f", v.partFairness),
		hundredths(v.connectionImbalance), int(v.connections), hundredths(v.probeImbalance),
		hundredths(v.slowStartPressure), v.overloadedReplicas,
		fmt.Sprintf("%.3f", v.earnedFraction), fmt.Sprintf("%.3f", v.zoneLostFraction))
	return drawHeatMap(r, fmt.Sprintf("choices-%d-%s", size.coordinators, places), size.replicas, v.partsSent)
}

// reportComparison reports the gain from ordinals at comparedSize and checks its targets.
func reportComparison(r *experiment.Report, c comparison) {
	r.Figure("connections", "%.2f", c.with.connections/c.without.connections)
	r.Figure("zone", "%.3f", c.with.zoneLostFraction)
	r.Figure("zone_gain", "%.2f", c.with.zoneLostFraction/c.without.zoneLostFraction)
	r.Expect(c.with.connections <= maxConnectionsShare*c.without.connections,
		"300: %.0f connections, %.0f without places", c.with.connections, c.without.connections)
	r.Expect(c.with.zoneLostFraction >= minZoneLostGain*c.without.zoneLostFraction,
		"300: worth with a zone lost %.3f, %.3f without places", c.with.zoneLostFraction, c.without.zoneLostFraction)
}

func hundredths(x float64) string { return fmt.Sprintf("%.2f", x) }
